package org.lavenderwick.benchmarks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.lavenderwick.core.admission.Access;
import org.lavenderwick.core.admission.AdmissionQueue;
import org.lavenderwick.core.admission.FifoAdmissionQueue;
import org.lavenderwick.core.admission.RankedAdmissionQueue;
import org.lavenderwick.core.admission.StartRule;
import org.lavenderwick.core.admission.WorkItem;
import org.lavenderwick.core.configuration.RankSettings;
import org.lavenderwick.core.model.RankName;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * One offer, one take and one completion, on the queue of the next group in turn. Each queue holds the given number of
 * waiting items all the time.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class AdmissionBenchmark {

    private static final List<RankSettings> RANKS = List.of(
            new RankSettings(RankName.of("urgent"), Duration.ofMillis(100), 100, 0.5),
            new RankSettings(RankName.of("normal"), Duration.ofMillis(400), 10, 0.2),
            new RankSettings(RankName.of("bulk"), Duration.ofSeconds(2), 1, 0.1));

    private static final Duration PATIENCE = Duration.ofSeconds(30);

    private static final int CAPACITY = 10_000;

    /** Number of database groups, as at the daemon of the target scale, a region and all groups. */
    @Param({"10", "100", "1100"})
    public int groups;

    /** Items that wait in each queue. */
    @Param({"0", "100"})
    public int waiting;

    /** The implementation. */
    @Param({"ranked", "fifo"})
    public String queue;

    private final List<AdmissionQueue> queues = new ArrayList<>();
    private int next;
    private long nextId;
    private Duration now = Duration.ZERO;

    /** Fills the queues. */
    @Setup
    public void fill() {
        for (int group = 0; group < groups; group++) {
            AdmissionQueue created = queue.equals("ranked")
                    ? RankedAdmissionQueue.create(RANKS, CAPACITY)
                    : FifoAdmissionQueue.create(CAPACITY);
            for (int item = 0; item < waiting; item++) {
                created.offer(item(), now);
            }
            queues.add(created);
        }
    }

    /** Offers an item and takes one. */
    @Benchmark
    public Optional<WorkItem> offerAndTake() {
        AdmissionQueue current = queues.get(next);
        next = next + 1 == groups ? 0 : next + 1;
        now = now.plusNanos(1_000);
        current.offer(item(), now);
        Optional<WorkItem> taken = current.poll(StartRule.ANY, now);
        taken.ifPresent(item -> current.recordCompletion(item, now, now.plusMillis(1)));
        return taken;
    }

    private WorkItem item() {
        long id = nextId++;
        RankSettings rank = RANKS.get((int) (id % RANKS.size()));
        Access access = id % 5 == 0 ? Access.WRITE : Access.READ;
        return WorkItem.of(id, rank, access, 1, now, now.plus(PATIENCE));
    }
}
