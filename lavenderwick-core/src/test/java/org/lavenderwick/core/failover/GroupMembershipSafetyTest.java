package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lavenderwick.core.model.EndpointName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against daemons that prove a replaced primary because the endpoint that was promoted is not among the members
 * whose reports they count: members that were lost, that joined unnoticed, or that are known from a daemon that is
 * behind. Simulates every pair of faults while the failure domain of the primary is cut off, and checks that what can be
 * served without the store still is. The system properties {@code lavenderwick.failover.pairSeeds} and
 * {@code lavenderwick.failover.baseSeed} set the number of simulations of each pair and the first seed.
 */
class GroupMembershipSafetyTest {

    private static final long PAIR_SEEDS = Long.getLong("lavenderwick.failover.pairSeeds", 12);

    private static final long SEEDS = Long.getLong("lavenderwick.failover.seeds", 10_000);
    private static final long BASE_SEED = Long.getLong("lavenderwick.failover.baseSeed", 20_261_206);
    private static final long DURATION_MILLIS = 45_000;
    private static final int FAULTS_OF_A_KIND = 2;

    /** Short, so that members expire several times in a simulation. */
    private static final FailoverTimings TIMINGS =
            Safeguards.withMembershipMaxAge(FailoverTimings.DEFAULTS, Duration.ofSeconds(4));

    private enum Fault {
        REPLICAS_CRASH,
        REPLICA_REPLACED,
        PRIMARY_DRAINING,
        STORE_CUT_OF_ENDPOINT,
        DOMAIN_CUT,
        STORE_DOWN,
        STORE_FAULTS,
        STORE_RESTORED,
        LEASE_LOST,
        DAEMON_RESTART,
        DAEMON_SUSPENDED,
        DAEMON_REFUSED,
        DAEMON_MISSES_CHANGES,
        PRIMARY_UNREACHABLE
    }

    private static void inject(Fault fault, SimulatedFleet fleet, long start) {
        Simulation simulation = fleet.simulation();
        Random random = fleet.random();
        SimulatedGroup group = fleet.group();
        long duration = 500 + random.nextLong(9000);
        int domain = random.nextInt(SimulatedFleet.DAEMONS);
        int index = random.nextInt(SimulatedGroup.DOMAINS);
        switch (fault) {
            case REPLICAS_CRASH ->
                simulation.schedule(
                        start,
                        () -> fleet.crashReplicas()
                                .forEach(name -> simulation.schedule(duration, () -> group.restart(name))));
            case REPLICA_REPLACED ->
                simulation.schedule(start, () -> replicas(group).forEach(group::replace));
            case PRIMARY_DRAINING ->
                simulation.schedule(start, () -> {
                    EndpointName primary = group.leader();
                    group.setDraining(primary, true);
                    simulation.schedule(duration, () -> group.setDraining(primary, false));
                });
            case STORE_CUT_OF_ENDPOINT -> {
                EndpointName endpoint = group.members().get(index).name();
                fleet.applyTemporarily(
                        start,
                        duration,
                        () -> group.setStoreCut(endpoint, true),
                        () -> group.setStoreCut(endpoint, false));
            }
            case DOMAIN_CUT -> cutPrimary(fleet, start, duration);
            case STORE_DOWN -> fleet.applyTemporarily(start, duration, fleet::stopStore, fleet::startStore);
            case STORE_FAULTS ->
                fleet.applyTemporarily(
                        start,
                        duration,
                        () -> fleet.store().setFaultRate(0.4),
                        () -> fleet.store().setFaultRate(0));
            case STORE_RESTORED -> fleet.applyTemporarily(start, duration, fleet.store()::copy, fleet.store()::restore);
            case LEASE_LOST -> simulation.schedule(start, fleet.store()::revokeAnyLease);
            case DAEMON_RESTART -> simulation.schedule(start, () -> fleet.restart(domain));
            case DAEMON_SUSPENDED ->
                simulation.schedule(start, () -> fleet.daemon(domain).suspend(duration));
            case DAEMON_REFUSED ->
                fleet.applyTemporarily(
                        start,
                        duration,
                        () -> fleet.daemon(domain).setStoreReachable(false),
                        () -> fleet.daemon(domain).setStoreReachable(true));
            case DAEMON_MISSES_CHANGES ->
                fleet.applyTemporarily(
                        start,
                        duration,
                        () -> fleet.daemon(domain).setMissingChanges(true),
                        () -> fleet.daemon(domain).setMissingChanges(false));
            case PRIMARY_UNREACHABLE ->
                fleet.applyTemporarily(
                        start,
                        duration,
                        () -> group.setIsolated(group.leader(), true),
                        () -> group.members().forEach(entry -> group.setIsolated(entry.name(), false)));
        }
    }

    private static List<EndpointName> replicas(SimulatedGroup group) {
        return group.members().stream()
                .map(entry -> entry.name())
                .filter(name -> !name.equals(group.leader()))
                .toList();
    }

    private static void cutPrimary(SimulatedFleet fleet, long start, long duration) {
        fleet.simulation().schedule(start, () -> {
            int domain = fleet.group().endpoint(fleet.group().leader()).domain;
            fleet.cut(domain);
            fleet.simulation().schedule(duration, () -> fleet.heal(domain));
        });
    }

    private record Scenario(Fault first, Fault second, Safeguards safeguards) {

        private SimulatedFleet play(long seed) {
            SimulatedFleet fleet = new SimulatedFleet(seed, safeguards);
            fleet.start();
            for (int number = 0; number < FAULTS_OF_A_KIND; number++) {
                inject(first, fleet, startMillis(fleet));
                inject(second, fleet, startMillis(fleet));
            }
            cutPrimary(fleet, startMillis(fleet), 4000 + fleet.random().nextLong(12_000));
            fleet.simulation().runUntil(DURATION_MILLIS);
            return fleet;
        }

        private static long startMillis(SimulatedFleet fleet) {
            return 8000 + fleet.random().nextLong(DURATION_MILLIS - 20_000);
        }

        private String violation(long seed) {
            String found = play(seed).violation();
            return found.isEmpty() ? "" : first + " and " + second + ", seed " + seed + ": " + found;
        }
    }

    /**
     * Plays a group that is down to its primary, so that the members that daemons know are the primary alone. The
     * replicas come back about the time at which the failure domain of the primary is cut off.
     */
    private static String violationWithLonelyPrimary(long seed, Safeguards safeguards) {
        SimulatedFleet fleet = new SimulatedFleet(seed, safeguards);
        Simulation simulation = fleet.simulation();
        Random random = fleet.random();
        fleet.start();
        long cutAt = 21_000 + random.nextLong(8000);
        long backAt = cutAt - 4000 + random.nextLong(6000);
        simulation.schedule(
                1000,
                () -> fleet.crashReplicas()
                        .forEach(name -> simulation.schedule(
                                backAt - 1000, () -> fleet.group().restart(name))));
        simulation.schedule(
                backAt - random.nextLong(4000), () -> fleet.daemon(0).setMissingChanges(true));
        cutPrimary(fleet, cutAt, 8000);
        simulation.runUntil(DURATION_MILLIS);
        return fleet.violation().isEmpty() ? "" : "seed " + seed + ": " + fleet.violation();
    }

    private static Optional<String> firstViolationWithLonelyPrimary(Safeguards safeguards) {
        return LongStream.range(BASE_SEED, BASE_SEED + SEEDS)
                .parallel()
                .mapToObj(seed -> violationWithLonelyPrimary(seed, safeguards))
                .filter(text -> !text.isEmpty())
                .findAny();
    }

    private static Optional<String> firstViolationOfPairs(Safeguards safeguards) {
        int kinds = Fault.values().length;
        return LongStream.range(0, kinds * kinds * PAIR_SEEDS)
                .parallel()
                .mapToObj(number -> {
                    int pair = (int) (number / PAIR_SEEDS);
                    long seed = BASE_SEED + pair * 1_000_003L + number % PAIR_SEEDS;
                    return new Scenario(Fault.values()[pair / kinds], Fault.values()[pair % kinds], safeguards)
                            .violation(seed);
                })
                .filter(text -> !text.isEmpty())
                .findAny();
    }

    /** Guards against daemons that serve a replaced primary after any two faults. */
    @Test
    void replacedPrimaryDoesNotServeAfterAnyPairOfFaults() {
        assertThat(firstViolationOfPairs(new Safeguards(TIMINGS, Set.of()))).isEmpty();
    }

    /** Guards against a daemon that counts the primary alone and does not know the endpoint that replaces it. */
    @Test
    void replacedPrimaryDoesNotServeIfItWasTheOnlyMember() {
        assertThat(firstViolationWithLonelyPrimary(new Safeguards(TIMINGS, Set.of())))
                .isEmpty();
    }

    /** Checks that the simulation finds a violation if a safeguard is missing. */
    @ParameterizedTest
    @EnumSource(
            value = Safeguard.class,
            names = {
                "RECORDED_MEMBERS",
                "MEMBERSHIP_AGE",
                "LEASE_OF_JOINING",
                "ESTABLISHMENT_DELAY",
                "CANDIDATE_ELIGIBILITY"
            })
    void replacedPrimaryServesWithoutSafeguard(Safeguard safeguard) {
        assertThat(firstViolationWithLonelyPrimary(new Safeguards(TIMINGS, Set.of(safeguard))))
                .isPresent();
    }

    /** Guards against a safeguard that refuses what can be served. */
    @Nested
    class Service {

        private static final long SIMULATIONS = 200;

        private static long sum(ToLongFunction<SimulatedFleet> count, Fault first, Fault second) {
            return LongStream.range(BASE_SEED, BASE_SEED + SIMULATIONS)
                    .parallel()
                    .map(seed -> count.applyAsLong(
                            new Scenario(first, second, new Safeguards(TIMINGS, Set.of())).play(seed)))
                    .sum();
        }

        @Test
        void continuesWithoutTheStore() {
            long served = sum(
                    fleet -> fleet.daemons().stream()
                            .mapToLong(SimulatedDaemon::writesWithoutStore)
                            .sum(),
                    Fault.STORE_DOWN,
                    Fault.DAEMON_REFUSED);
            assertThat(served).isGreaterThan(SIMULATIONS * 20);
        }

        @Test
        void failoversTakePlaceOutsideOfACut() {
            long promotions = sum(fleet -> fleet.group().promotions(), Fault.DOMAIN_CUT, Fault.DOMAIN_CUT);
            assertThat(promotions).isGreaterThan(SIMULATIONS * 2);
        }
    }
}
