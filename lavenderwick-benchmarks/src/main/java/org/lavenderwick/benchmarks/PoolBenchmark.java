package org.lavenderwick.benchmarks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.lavenderwick.core.connections.ConnectionPoolState;
import org.lavenderwick.core.connections.ConnectionPurpose;
import org.lavenderwick.core.connections.ConnectionShares;
import org.lavenderwick.core.connections.OnDemandSizing;
import org.lavenderwick.core.connections.PoolDecision;
import org.lavenderwick.core.connections.ReleaseState;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** One acquire and one release, on the pool of the next group in turn, and the shares of all groups. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class PoolBenchmark {

    private static final int LIMIT = 20;

    private static final int OWNERS = 3;

    private static final int OPEN = 4;

    /** Number of database groups. */
    @Param({"10", "100", "1100"})
    public int groups;

    private final List<ConnectionPoolState> pools = new ArrayList<>();
    private int next;
    private Duration now = Duration.ZERO;

    /** Opens the connections. */
    @Setup
    public void fill() {
        for (int group = 0; group < groups; group++) {
            ConnectionPoolState pool = ConnectionPoolState.create(
                    OnDemandSizing.of(Duration.ofSeconds(30)),
                    ConnectionShares.share(LIMIT, OWNERS, 0),
                    new Random(group));
            List<Long> used = new ArrayList<>();
            for (int count = 0; count < OPEN; count++) {
                PoolDecision.Open open = (PoolDecision.Open) pool.acquire(ConnectionPurpose.TRAFFIC, () -> true, now);
                pool.onOpened(open.connection(), now);
                used.add(((PoolDecision.Use) pool.acquire(ConnectionPurpose.TRAFFIC, () -> true, now)).connection());
            }
            used.forEach(id -> pool.release(id, ReleaseState.CLEAN, now));
            pools.add(pool);
        }
    }

    /** Acquires a connection and releases it. */
    @Benchmark
    public boolean acquireAndRelease() {
        ConnectionPoolState pool = pools.get(next);
        next = next + 1 == groups ? 0 : next + 1;
        now = now.plusNanos(100);
        PoolDecision.Use use = (PoolDecision.Use) pool.acquire(ConnectionPurpose.TRAFFIC, () -> false, now);
        return pool.release(use.connection(), ReleaseState.CLEAN, now);
    }

    /** Computes the shares of all owners of all groups, as after a change of the seat table. */
    @Benchmark
    public int sharesOfAllGroups() {
        int sum = 0;
        for (int group = 0; group < groups; group++) {
            for (int index = 0; index < OWNERS; index++) {
                sum += ConnectionShares.share(LIMIT + group % 11, OWNERS, index);
            }
        }
        return sum;
    }
}
