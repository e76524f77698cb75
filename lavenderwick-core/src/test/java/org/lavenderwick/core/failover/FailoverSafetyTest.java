package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.EndpointName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks in seeded simulations with injected faults that no daemon reads from a replaced primary or acknowledges a
 * write that a replaced primary committed, and that the simulations find a violation if any one safeguard is disabled.
 * The system properties {@code lavenderwick.failover.seeds} and {@code lavenderwick.failover.baseSeed} set the number
 * of simulations and the first seed.
 */
class FailoverSafetyTest {

    private static final long SEEDS = Long.getLong("lavenderwick.failover.seeds", 10_000);
    private static final long BASE_SEED = Long.getLong("lavenderwick.failover.baseSeed", 20_261_204);
    private static final long DURATION_MILLIS = 30_000;

    /**
     * The faults of a simulation.
     *
     * @param kinds the number of kinds that are drawn from
     * @param count the number of faults
     * @param primaryCuts the number of partitions of new primaries, in addition
     */
    private record Faults(int kinds, int count, int primaryCuts) {

        /** Faults of daemons, of the store and of single endpoints. */
        static final Faults SINGLE = new Faults(8, 12, 0);

        /** All of these, and faults that change which endpoints and daemons there are or that separate them. */
        static final Faults ALL = new Faults(13, 18, 0);

        /** Partitions of new primaries alone. */
        static final Faults PRIMARY_CUTS = new Faults(0, 0, 6);

        /** Partitions of new primaries together with all other faults. */
        static final Faults ALL_WITH_PRIMARY_CUTS = new Faults(13, 12, 6);
    }

    /** The result of one simulation; the violation is empty if there was none. */
    private record Result(String violation, int promotions) {}

    private static Result run(long seed, Safeguards safeguards, Faults faults) {
        SimulatedFleet fleet = new SimulatedFleet(seed, safeguards);
        fleet.start();
        for (int number = 0; number < faults.count(); number++) {
            injectFault(fleet, faults.kinds());
        }
        for (int number = 0; number < faults.primaryCuts(); number++) {
            SimulatedCandidateFaults.PrimaryCut cut = SimulatedCandidateFaults.PrimaryCut.draw(fleet.random());
            fleet.simulation()
                    .schedule(
                            fleet.random().nextLong(DURATION_MILLIS),
                            () -> fleet.group().candidateFaults().cutNext(cut));
        }
        fleet.simulation().runUntil(DURATION_MILLIS);
        return new Result(fleet.violation(), fleet.group().promotions());
    }

    private static void injectFault(SimulatedFleet fleet, int kinds) {
        Simulation simulation = fleet.simulation();
        Random random = fleet.random();
        SimulatedStore store = fleet.store();
        SimulatedGroup group = fleet.group();
        long startMillis = random.nextLong(DURATION_MILLIS);
        long durationMillis = 200 + random.nextLong(5000);
        int domain = random.nextInt(SimulatedFleet.DAEMONS);
        EndpointName endpoint =
                group.members().get(random.nextInt(group.members().size())).name();
        switch (random.nextInt(kinds)) {
            case 0 ->
                fleet.applyTemporarily(
                        startMillis,
                        durationMillis,
                        () -> fleet.daemon(domain).setStoreReachable(false),
                        () -> fleet.daemon(domain).setStoreReachable(true));
            case 1 ->
                fleet.applyTemporarily(
                        startMillis, durationMillis, () -> store.setFaultRate(0.4), () -> store.setFaultRate(0));
            case 2 -> simulation.schedule(startMillis, store::revokeAnyLease);
            case 3 ->
                fleet.applyTemporarily(
                        startMillis, durationMillis, () -> group.crash(endpoint), () -> group.restart(endpoint));
            case 4 ->
                fleet.applyTemporarily(
                        startMillis,
                        durationMillis,
                        () -> simulation.setEndpointFaultRate(0.3),
                        () -> simulation.setEndpointFaultRate(0));
            case 5 ->
                fleet.applyTemporarily(
                        startMillis,
                        durationMillis,
                        () -> group.setIsolated(group.leader(), true),
                        () -> group.members().forEach(entry -> group.setIsolated(entry.name(), false)));
            case 6 -> fleet.applyTemporarily(startMillis, durationMillis, store::copy, store::restore);
            case 7 ->
                simulation.schedule(startMillis, () -> fleet.daemon(domain).suspend(durationMillis));
            case 8 ->
                fleet.applyTemporarily(
                        startMillis,
                        durationMillis,
                        () -> group.setStoreCut(endpoint, true),
                        () -> group.setStoreCut(endpoint, false));
            case 9 ->
                fleet.applyTemporarily(startMillis, durationMillis, () -> fleet.cut(domain), () -> fleet.heal(domain));
            case 10 -> simulation.schedule(startMillis, () -> group.replace(endpoint));
            case 11 ->
                simulation.schedule(
                        startMillis,
                        () -> fleet.crashReplicas()
                                .forEach(name -> simulation.schedule(durationMillis, () -> group.restart(name))));
            default -> simulation.schedule(startMillis, () -> fleet.restart(domain));
        }
    }

    private static Optional<String> firstViolation(Safeguards safeguards, Faults faults) {
        return LongStream.range(BASE_SEED, BASE_SEED + SEEDS)
                .parallel()
                .mapToObj(seed -> seed + ": " + run(seed, safeguards, faults).violation())
                .filter(text -> !text.endsWith(": "))
                .findAny();
    }

    @Nested
    class WithAllSafeguards {

        @Test
        void replacedPrimaryDoesNotServe() {
            assertThat(firstViolation(Safeguards.all(), Faults.SINGLE)).isEmpty();
        }

        /** Guards against members that daemons count although others have joined or replaced them. */
        @Test
        void replacedPrimaryDoesNotServeIfMembersChange() {
            assertThat(firstViolation(Safeguards.all(), Faults.ALL)).isEmpty();
        }

        /** Guards against a second promotion while daemons prove a primary that the first one began unseen. */
        @Test
        void replacedPrimaryDoesNotServeIfNewPrimariesAreCutOff() {
            assertThat(firstViolation(Safeguards.all(), Faults.PRIMARY_CUTS)).isEmpty();
        }

        /** Guards against the same in combination with every other fault. */
        @Test
        void replacedPrimaryDoesNotServeIfNewPrimariesAreCutOffBesideOtherFaults() {
            assertThat(firstViolation(Safeguards.all(), Faults.ALL_WITH_PRIMARY_CUTS))
                    .isEmpty();
        }

        @Test
        void promotionsTakePlace() {
            long promotions = LongStream.range(BASE_SEED, BASE_SEED + 100)
                    .mapToObj(seed -> run(seed, Safeguards.all(), Faults.ALL))
                    .mapToLong(Result::promotions)
                    .sum();
            assertThat(promotions).isGreaterThan(100);
        }
    }

    /** What is served around a failover, so that safety does not come from refusals. */
    @Nested
    class Service {

        private static final int RUNS = 200;
        private static final long STARTED_AT = 5000;

        /** Time within which a change of primary is over: the target of CONTRIBUTING.md. */
        private static final long CHANGE_MILLIS = 9000;

        /** Time in which writes that were sent after a change are acknowledged; the simulated ones take up to 4.3 s. */
        private static final long WRITE_MILLIS = 5000;

        private static final long CUT_MILLIS = CHANGE_MILLIS + WRITE_MILLIS;

        /** Runs one failover with a fault of its candidate, and returns the fleet after it. */
        private SimulatedFleet run(long seed, Consumer<SimulatedFleet> fault) {
            SimulatedFleet fleet = new SimulatedFleet(seed, Safeguards.all());
            fleet.start();
            fleet.daemons().forEach(daemon -> daemon.failovers().actOnlyIfNeeded());
            fault.accept(fleet);
            fleet.simulation()
                    .schedule(
                            STARTED_AT,
                            () -> fleet.daemon(0)
                                    .failovers()
                                    .start(fleet.group().leader()));
            fleet.simulation().runUntil(STARTED_AT + 3 * CUT_MILLIS);
            assertThat(fleet.violation()).isEmpty();
            return fleet;
        }

        private static Consumer<SimulatedFleet> cut(boolean hidesFromRequester, Set<Integer> otherDomains) {
            return fleet -> fleet.group()
                    .candidateFaults()
                    .cutNext(new SimulatedCandidateFaults.PrimaryCut(
                            fleet.random().nextLong(1500), CUT_MILLIS, hidesFromRequester, otherDomains));
        }

        private static void assertServes(SimulatedFleet fleet, long faultAt, Integer... domains) {
            long from = faultAt + CHANGE_MILLIS;
            for (int domain : domains) {
                assertThat(fleet.daemon(domain).acknowledgedWrites(from, from + WRITE_MILLIS))
                        .as("writes acknowledged in domain %s from %s ms on", domain, from)
                        .isPositive();
            }
        }

        /** Guards against a failover that does not end, or refuses work afterwards, although nothing is wrong. */
        @Test
        void goesOnIfNothingIsCut() {
            for (long seed = BASE_SEED; seed < BASE_SEED + RUNS; seed++) {
                SimulatedFleet fleet = run(seed, unchanged -> {});
                assertServes(fleet, STARTED_AT, 0, 1, 2);
                assertThat(fleet.group().promotions()).as("seed %s", seed).isOne();
            }
        }

        /** Guards against refusals by daemons that reach a primary from which only the replicas are cut off. */
        @Test
        void goesOnIfOnlyReplicasAreCutOff() {
            for (long seed = BASE_SEED; seed < BASE_SEED + RUNS; seed++) {
                SimulatedFleet fleet = run(seed, cut(false, Set.of()));
                assertServes(fleet, fleet.group().candidateFaults().latestBeganAt(), 0, 1, 2);
                assertThat(fleet.group().promotions()).as("seed %s", seed).isOne();
            }
        }

        /** Guards against refusals by the majority if one daemon is cut off that does not run the failover. */
        @Test
        void goesOnAtTheMajorityIfAnotherDaemonIsCutOff() {
            for (long seed = BASE_SEED; seed < BASE_SEED + RUNS; seed++) {
                SimulatedFleet fleet = run(seed, cut(false, Set.of(2)));
                assertServes(fleet, fleet.group().candidateFaults().latestBeganAt(), 0, 1);
                assertThat(fleet.group().promotions()).as("seed %s", seed).isOne();
            }
        }

        /** Guards against a group that stays without service if the daemon that runs the failover is cut off. */
        @Test
        void goesOnIfTheDaemonOfTheFailoverIsCutOff() {
            for (long seed = BASE_SEED; seed < BASE_SEED + RUNS; seed++) {
                SimulatedFleet fleet = run(seed, cut(true, Set.of()));
                assertServes(fleet, fleet.group().candidateFaults().latestBeganAt(), 1, 2);
            }
        }

        /** Guards against a failover that waits for ever for the endpoint whose promotion it requested. */
        @Test
        void goesOnIfTheCandidateIsGoneForGood() {
            for (long seed = BASE_SEED; seed < BASE_SEED + RUNS; seed++) {
                SimulatedFleet fleet = run(
                        seed,
                        started -> started.group()
                                .candidateFaults()
                                .crashNext(started.random().nextLong(200)));
                assertServes(fleet, fleet.group().candidateFaults().latestBeganAt(), 0, 1, 2);
            }
        }
    }

    @Nested
    class WithoutOneSafeguard {

        private void assertUnsafe(Safeguards safeguards) {
            assertThat(firstViolation(safeguards, Faults.SINGLE)).isPresent();
        }

        private void assertUnsafeIfNewPrimariesAreCutOff(Safeguard safeguard) {
            assertThat(firstViolation(Safeguards.without(safeguard), Faults.ALL_WITH_PRIMARY_CUTS))
                    .isPresent();
        }

        @Test
        void requestedTerms() {
            assertUnsafeIfNewPrimariesAreCutOff(Safeguard.REQUESTED_TERMS);
        }

        @Test
        void promisesAfterRequests() {
            assertUnsafeIfNewPrimariesAreCutOff(Safeguard.PROMISES_AFTER_REQUESTS);
        }

        @Test
        void unknownRequests() {
            assertUnsafeIfNewPrimariesAreCutOff(Safeguard.UNKNOWN_REQUESTS);
        }

        @Test
        void waitForEvidenceExpiry() {
            FailoverTimings defaults = FailoverTimings.DEFAULTS;
            FailoverTimings withoutWait = new FailoverTimings(
                    Duration.ZERO,
                    defaults.promiseMaxAge(),
                    Duration.ZERO,
                    defaults.lockTtl(),
                    defaults.retryDelay(),
                    defaults.promiseTimeout(),
                    defaults.promiseGracePeriod(),
                    defaults.catchUpTimeout(),
                    defaults.membershipMaxAge());
            assertUnsafe(new Safeguards(withoutWait, Set.of()));
        }

        @Test
        void leaseRevocation() {
            assertUnsafe(Safeguards.without(Safeguard.LEASE_REVOCATION));
        }

        @Test
        void promisesOfEndpoints() {
            assertUnsafe(Safeguards.without(Safeguard.PROMISES));
        }

        @Test
        void connectionAge() {
            assertUnsafe(Safeguards.without(Safeguard.CONNECTION_AGE));
        }

        @Test
        void suspensionDetection() {
            assertUnsafe(Safeguards.without(Safeguard.SUSPENSION_DETECTION));
        }

        @Test
        void evidenceCheckBeforeAcknowledgement() {
            assertUnsafe(Safeguards.without(Safeguard.EVIDENCE_RECHECK));
        }

        @Test
        void eraOfTheRecord() {
            assertUnsafe(Safeguards.without(Safeguard.ERA));
        }

        @Test
        void dateOfConfirmations() {
            assertUnsafe(Safeguards.without(Safeguard.CONFIRMATION_DATE));
        }
    }
}
