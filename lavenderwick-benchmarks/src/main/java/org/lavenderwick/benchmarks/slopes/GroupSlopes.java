package org.lavenderwick.benchmarks.slopes;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;

import io.vavr.control.Either;
import org.lavenderwick.adapters.endpoint.EndpointConnection;
import org.lavenderwick.adapters.endpoint.EndpointPort;
import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.adapters.platform.HttpPlatformPort;
import org.lavenderwick.adapters.settings.Timeouts;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.promotion.GroupRecord;
import org.lavenderwick.core.promotion.PrimaryMonitor;
import org.lavenderwick.core.promotion.PromotionTimings;
import org.lavenderwick.core.time.TokenBucket;
import org.lavenderwick.daemon.group.EventLoop;
import org.lavenderwick.daemon.group.GroupEnvironment;
import org.lavenderwick.daemon.group.GroupExecutor;
import org.lavenderwick.daemon.group.GroupObserver;
import org.lavenderwick.daemon.group.GroupPlacement;
import org.lavenderwick.daemon.group.GroupRecords;
import org.lavenderwick.daemon.group.Policies;
import org.lavenderwick.daemon.group.TransactionListener;

/** Memory and idle processor time of the executors of owned groups, without open connections. */
final class GroupSlopes {
    private static final int[] GROUPS = {50, 200, 800};
    private static final long IDLE_MILLIS = 3_000;
    private static final Duration SHARE_RAISE_WAIT = Duration.ofSeconds(5);
    private static final long END_NANOS = 500_000_000;

    private final Sampler sampler;

    GroupSlopes(Sampler sampler) {
        this.sampler = sampler;
    }

    List<Series> all() {
        run(GROUPS[0], new double[2]);
        List<Point> memory = new ArrayList<>();
        List<Point> idle = new ArrayList<>();
        for (int size : GROUPS) {
            List<Double> idleRuns = new ArrayList<>();
            memory.add(sampler.point(size, run -> {
                double[] results = new double[2];
                long before = Sampler.usedBytes();
                run(size, results);
                LockSupport.parkNanos(END_NANOS);
                // Groups of closed executors are sometimes collected late, which raises one of the two readings.
                results[0] -= Math.min(before, Sampler.usedBytes());
                idleRuns.add(results[1]);
                return results[0];
            }));
            idle.add(new Point(size, idleRuns));
        }
        return List.of(
                new Series("owned group without connections", "bytes of memory", "groups", memory),
                new Series("owned group, idle, upkeep of the executor", "us of CPU a second", "groups", idle));
    }

    private static void run(int groups, double[] results) {
        Configuration configuration = Fleet.configuration(groups, 1);
        EventLoop loop = EventLoop.start("group", () -> Duration.ofNanos(System.nanoTime()));
        // Nobody listens at the address, so the executors stay without a group record.
        try (HttpPlatformPort platform = HttpPlatformPort.create(
                "127.0.0.1:1", "127.0.0.1", Duration.ofSeconds(2), TokenBucket.of(1, 1e-9, loop::now))) {
            GroupEnvironment environment = new GroupEnvironment(
                    new NoEndpoints(),
                    Timeouts.DEFAULTS.endpoint(),
                    Timeouts.DEFAULTS.connect(),
                    SHARE_RAISE_WAIT,
                    GroupRecords.on(platform),
                    Policies.standard(),
                    InstantSource.system(),
                    new Random(groups),
                    new NoTransactions(),
                    "capacity");
            List<Object> kept = new ArrayList<>();
            for (GroupSettings group : configuration.groups().values()) {
                GroupPlacement placement =
                        new GroupPlacement(group, configuration.services().get(group.service()), List.of(), 3, 0);
                kept.add(GroupExecutor.start(environment, loop, placement, new NoObserver()));
                kept.add(PrimaryMonitor.create(
                        group.endpoints().stream().map(EndpointSettings::name).toList(), PromotionTimings.DEFAULT));
            }
            CompletableFuture<Boolean> started = new CompletableFuture<>();
            loop.execute(() -> started.complete(true));
            started.join();
            results[0] = Sampler.usedBytes();
            long cpu = CallSlopes.processNanos();
            Thread.sleep(IDLE_MILLIS);
            results[1] = (CallSlopes.processNanos() - cpu) / (double) IDLE_MILLIS;
            if (kept.size() != 2 * groups) {
                throw new IllegalStateException("some groups were not started");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } finally {
            loop.close();
        }
    }

    private static final class NoEndpoints implements EndpointPort {
        @Override
        public CompletableFuture<Either<Failure, EndpointConnection>> connect(
                EndpointSettings endpoint, Duration timeout) {
            return CompletableFuture.completedFuture(
                    Either.left(Failure.of(ErrorKind.NO_ELIGIBLE_ENDPOINT, "There is no endpoint.")));
        }

        @Override
        public void close() {
            // Nothing is open.
        }
    }

    private static final class NoObserver implements GroupObserver {
        @Override
        public void onStatus(EndpointStatus status) {
            // The group has no endpoint that answers.
        }

        @Override
        public void onRecordRead(GroupRecord record, Duration askedAt) {
            // The group has no record.
        }
    }

    private static final class NoTransactions implements TransactionListener {
        @Override
        public void onOpened() {
            // No transaction opens.
        }

        @Override
        public void onEnded() {
            // No transaction opens.
        }
    }
}
