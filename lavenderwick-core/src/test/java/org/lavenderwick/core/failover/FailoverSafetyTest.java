package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.catalog.EndpointEntry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks in seeded runs that no daemon reads from or acknowledges a write of a replaced primary. For a longer run set
 * the system properties {@code lavenderwick.failover.seeds} and {@code lavenderwick.failover.baseSeed}.
 */
class FailoverSafetyTest {

    private static final long SEEDS = Long.getLong("lavenderwick.failover.seeds", 10_000);
    private static final long BASE_SEED = Long.getLong("lavenderwick.failover.baseSeed", 20_261_204);
    private static final long LENGTH_MILLIS = 30_000;
    private static final int DAEMONS = 3;

    /**
     * The parts of the protocol that keep it safe.
     *
     * @param timings the times of the failovers; daemons always use the default ones
     * @param leasesEnd whether the lease of the record ends when a term is closed
     * @param heedsPromises whether daemons heed the promises of endpoints
     * @param settledConnections whether reports count only if the endpoint did not restart lately
     * @param detectsSuspension whether a daemon that stood still forgets its evidence
     * @param checksAcknowledgements whether evidence is checked again when an answer arrives
     */
    record Guards(
            FailoverTimings timings,
            boolean leasesEnd,
            boolean heedsPromises,
            boolean settledConnections,
            boolean detectsSuspension,
            boolean checksAcknowledgements) {

        static Guards all() {
            return new Guards(FailoverTimings.DEFAULTS, true, true, true, true, true);
        }
    }

    /** The result of one run. */
    private record Result(String violation, int promotions) {}

    private static Result run(long seed, Guards guards) {
        Random random = new Random(seed);
        Simulation simulation = new Simulation();
        SimulatedStore store = new SimulatedStore(simulation, random, guards.leasesEnd());
        SimulatedGroup group = new SimulatedGroup(simulation, random);
        List<SimulatedDaemon> daemons = new ArrayList<>();
        for (int index = 0; index < DAEMONS; index++) {
            SimulatedDaemon daemon = new SimulatedDaemon(simulation, random, store, group, guards);
            daemons.add(daemon);
            daemon.start();
        }
        disturb(simulation, random, store, group, daemons);
        simulation.runUntil(LENGTH_MILLIS);
        String violation = daemons.stream()
                .map(SimulatedDaemon::violation)
                .filter(text -> !text.isEmpty())
                .findFirst()
                .orElse("");
        return new Result(violation, group.promotions());
    }

    private static void disturb(
            Simulation simulation,
            Random random,
            SimulatedStore store,
            SimulatedGroup group,
            List<SimulatedDaemon> daemons) {
        for (int disturbance = 0; disturbance < 12; disturbance++) {
            long at = random.nextLong(LENGTH_MILLIS);
            long length = 200 + random.nextLong(5000);
            SimulatedDaemon daemon = daemons.get(random.nextInt(daemons.size()));
            EndpointEntry member =
                    group.members().get(random.nextInt(group.members().size()));
            switch (random.nextInt(7)) {
                case 0 ->
                    span(simulation, at, length, () -> daemon.reachesStore(false), () -> daemon.reachesStore(true));
                case 1 -> span(simulation, at, length, () -> store.faults(0.4), () -> store.faults(0));
                case 2 -> simulation.after(at, store::revokeSome);
                case 3 ->
                    span(simulation, at, length, () -> group.crash(member.name()), () -> group.restart(member.name()));
                case 4 ->
                    span(
                            simulation,
                            at,
                            length,
                            () -> simulation.endpointFaults(0.3),
                            () -> simulation.endpointFaults(0));
                case 5 ->
                    span(
                            simulation,
                            at,
                            length,
                            () -> group.cutOff(group.leader(), true),
                            () -> group.members().forEach(entry -> group.cutOff(entry.name(), false)));
                default -> simulation.after(at, () -> daemon.suspend(length));
            }
        }
    }

    private static void span(Simulation simulation, long at, long length, Runnable begin, Runnable end) {
        simulation.after(at, begin);
        simulation.after(at + length, end);
    }

    private static Optional<String> firstViolation(Guards guards) {
        return LongStream.range(BASE_SEED, BASE_SEED + SEEDS)
                .parallel()
                .mapToObj(seed -> seed + ": " + run(seed, guards).violation())
                .filter(text -> !text.endsWith(": "))
                .findAny();
    }

    @Nested
    class AllGuards {

        @Test
        void keepReplacedPrimariesFromServing() {
            assertThat(firstViolation(Guards.all())).isEmpty();
        }

        @Test
        void letPromotionsHappen() {
            long promotions = LongStream.range(BASE_SEED, BASE_SEED + 100)
                    .mapToObj(seed -> run(seed, Guards.all()))
                    .mapToLong(Result::promotions)
                    .sum();
            assertThat(promotions).isGreaterThan(100);
        }
    }

    @Nested
    class WithoutOneGuard {

        private void isUnsafe(Guards guards) {
            assertThat(firstViolation(guards)).isPresent();
        }

        @Test
        void theWaitForEvidence() {
            FailoverTimings fleet = FailoverTimings.DEFAULTS;
            FailoverTimings hasty = new FailoverTimings(
                    Duration.ZERO,
                    fleet.promiseMaxAge(),
                    Duration.ZERO,
                    fleet.lockTtl(),
                    fleet.retryDelay(),
                    fleet.promiseTimeout(),
                    fleet.promiseGracePeriod(),
                    fleet.catchUpTimeout());
            isUnsafe(new Guards(hasty, true, true, true, true, true));
        }

        @Test
        void theEndOfTheLease() {
            isUnsafe(new Guards(FailoverTimings.DEFAULTS, false, true, true, true, true));
        }

        @Test
        void thePromisesOfEndpoints() {
            isUnsafe(new Guards(FailoverTimings.DEFAULTS, true, false, true, true, true));
        }

        @Test
        void theAgeOfConnections() {
            isUnsafe(new Guards(FailoverTimings.DEFAULTS, true, true, false, true, true));
        }

        @Test
        void theNoticeOfSuspension() {
            isUnsafe(new Guards(FailoverTimings.DEFAULTS, true, true, true, false, true));
        }

        @Test
        void theCheckOfAcknowledgements() {
            isUnsafe(new Guards(FailoverTimings.DEFAULTS, true, true, true, true, false));
        }
    }
}
