package org.lavenderwick.benchmarks;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.scheduling.AdmissionDecision;
import org.lavenderwick.core.scheduling.EndpointSlots;
import org.lavenderwick.core.scheduling.FreeSlot;
import org.lavenderwick.core.scheduling.GroupScheduler;
import org.lavenderwick.core.scheduling.Operation;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** One admission, one dispatch and one completion while the given number of operations waits. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class SchedulingBenchmark {

    private static final FreeSlot SLOT = new FreeSlot(EndpointName.of("p"), true, 2, true, operation -> true);
    private static final Duration TARGET = Duration.ofMinutes(10);
    private static final int RANKS = 3;
    private static final int ACCOUNTS = 78;

    /** Operations that wait. */
    @Param({"10", "1000", "100000"})
    public int waiting;

    private final GroupScheduler scheduler = GroupScheduler.create((operation, now) -> Optional.empty(), new Random(1));
    private long nextId;
    private Duration now = Duration.ZERO;

    /** Fills the queues. */
    @Setup
    public void fill() {
        scheduler.updateSlots(List.of(new EndpointSlots(SLOT.endpoint(), true, 6)));
        for (int count = 0; count < waiting; count++) {
            scheduler.arrive(operation(), now);
        }
    }

    /** Decides on an arriving operation and gives a free slot to a waiting one. */
    @Benchmark
    public AdmissionDecision arriveAndDispatch() {
        now = now.plusNanos(1_000);
        AdmissionDecision decision = scheduler.arrive(operation(), now);
        scheduler.dispatch(SLOT, now).ifPresent(operation -> scheduler.onFinished(operation, Duration.ofMillis(1)));
        return decision;
    }

    private Operation operation() {
        long id = nextId++;
        int rank = (int) (id % RANKS);
        return new Operation(
                id,
                rank,
                "d" + rank,
                Optional.of(AccountName.of("a" + id % ACCOUNTS)),
                FailureDomain.of("z" + id / RANKS % RANKS),
                now,
                TARGET,
                now.plus(TARGET).plus(TARGET),
                true,
                false);
    }
}
