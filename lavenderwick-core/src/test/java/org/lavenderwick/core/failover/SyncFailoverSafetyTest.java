package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderwick.core.account.AccountDirectory;
import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.model.EndpointName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against promotions that lose commits which callers were told of after replicas had received them. Simulates
 * every pair of faults, with endpoints that acknowledge a commit once 0, 1 or 2 replicas have received it. The system
 * properties {@code lavenderwick.failover.pairSeeds} and {@code lavenderwick.failover.baseSeed} set the number of
 * simulations of each pair and the first seed.
 */
class SyncFailoverSafetyTest {

    private static final long PAIR_SEEDS = Long.getLong("lavenderwick.failover.pairSeeds", 12);
    /** A missing safeguard shows in few of the pairs; the search ends with the first loss. */
    private static final long ROUNDS_WITHOUT_SAFEGUARD = 40;

    private static final long ROUNDS_WITH_PRIMARY_CUT = 10;
    private static final long BASE_SEED = Long.getLong("lavenderwick.failover.baseSeed", 20_261_205);
    private static final long DURATION_MILLIS = 30_000;
    private static final int FAULTS_OF_A_KIND = 3;
    private static final SimulatedSyncReplicas.Guards ALL_GUARDS = new SimulatedSyncReplicas.Guards(true, true);

    private enum Fault {
        CRASH,
        RESTART_WITHOUT_LOG,
        UNREACHABLE,
        DISCONNECTED,
        DRAINING,
        REPLACED,
        STORE_CUT,
        REFUSAL,
        LOST_ANSWERS,
        STORE_FAULTS,
        STORE_RESTORED,
        DAEMON_SUSPENDED,
        DAEMON_CUT,
        PRIMARY_CUT
    }

    /** The faults of which every pair is simulated. Partitions of new primaries are paired with each of them only. */
    private static final List<Fault> PAIRED_FAULTS = Arrays.stream(Fault.values())
            .filter(fault -> fault != Fault.PRIMARY_CUT)
            .toList();

    /** What is simulated: the faults, how many replicas a commit needs, and what the daemons know of it. */
    private record Scenario(
            Fault first, Fault second, int required, int configured, SimulatedSyncReplicas.Guards guards) {

        private String run(long seed) {
            SimulatedFleet fleet = new SimulatedFleet(seed, Safeguards.all());
            SimulatedGroup group = fleet.group();
            group.setSyncReplicas(required);
            group.endOrdersWithProcess();
            fleet.store()
                    .configure(new Catalog(
                            1,
                            Map.of(),
                            Map.of(SimulatedGroup.NAME, 21),
                            configured == 0 ? Map.of() : Map.of(SimulatedGroup.NAME, configured),
                            Duration.ofSeconds(3),
                            AccountDirectory.EMPTY));
            fleet.start();
            fleet.daemons().forEach(daemon -> daemon.maintainSyncReplicas(guards));
            for (int number = 0; number < FAULTS_OF_A_KIND; number++) {
                inject(first, fleet);
                inject(second, fleet);
            }
            fleet.simulation().runUntil(DURATION_MILLIS);
            return group.lostCommits().isEmpty() ? "" : this + ", seed " + seed + ": " + group.lostCommits();
        }
    }

    private static void inject(Fault fault, SimulatedFleet fleet) {
        Simulation simulation = fleet.simulation();
        Random random = fleet.random();
        SimulatedStore store = fleet.store();
        SimulatedGroup group = fleet.group();
        long start = 3000 + random.nextLong(DURATION_MILLIS - 5000);
        long end = start + 200 + random.nextLong(6000);
        SimulatedDaemon daemon = fleet.daemon(random.nextInt(SimulatedFleet.DAEMONS));
        boolean primary = random.nextInt(3) == 0;
        int index = random.nextInt(3);
        EndpointName[] target = new EndpointName[1];
        Runnable choose = () -> target[0] =
                primary ? group.leader() : group.members().get(index).name();
        simulation.schedule(start, choose);
        switch (fault) {
            case CRASH -> {
                simulation.schedule(start, () -> group.crash(target[0]));
                simulation.schedule(end, () -> group.restart(target[0]));
            }
            case RESTART_WITHOUT_LOG -> {
                simulation.schedule(start, () -> group.crash(target[0]));
                simulation.schedule(start + 200, () -> group.restartEmpty(target[0]));
            }
            case UNREACHABLE -> {
                simulation.schedule(start, () -> group.setIsolated(target[0], true));
                simulation.schedule(end, () -> group.setIsolated(target[0], false));
            }
            case DISCONNECTED -> {
                simulation.schedule(start, () -> group.setDisconnected(target[0], true));
                simulation.schedule(end, () -> group.setDisconnected(target[0], false));
            }
            case DRAINING -> {
                simulation.schedule(start, () -> group.setDraining(target[0], true));
                simulation.schedule(end, () -> group.setDraining(target[0], false));
            }
            case REPLACED -> {
                simulation.schedule(start, () -> group.setDraining(target[0], primary));
                simulation.schedule(end, () -> group.replace(target[0]));
            }
            case STORE_CUT -> {
                simulation.schedule(start, () -> group.setStoreCut(target[0], true));
                simulation.schedule(end, () -> group.setStoreCut(target[0], false));
            }
            case REFUSAL -> {
                simulation.schedule(start, () -> group.setRefusalRate(0.5));
                simulation.schedule(end, () -> group.setRefusalRate(0));
            }
            case LOST_ANSWERS -> {
                simulation.schedule(start, () -> simulation.setEndpointFaultRate(0.3));
                simulation.schedule(end, () -> simulation.setEndpointFaultRate(0));
            }
            case STORE_FAULTS -> {
                simulation.schedule(start, () -> store.setFaultRate(0.4));
                simulation.schedule(end, () -> store.setFaultRate(0));
            }
            case STORE_RESTORED -> {
                simulation.schedule(start, store::copy);
                simulation.schedule(end, store::restore);
            }
            case DAEMON_SUSPENDED -> simulation.schedule(start, () -> daemon.suspend(end - start));
            case DAEMON_CUT -> {
                simulation.schedule(start, () -> daemon.setStoreReachable(false));
                simulation.schedule(end, () -> daemon.setStoreReachable(true));
            }
            case PRIMARY_CUT -> {
                SimulatedCandidateFaults.PrimaryCut cut = SimulatedCandidateFaults.PrimaryCut.draw(random);
                simulation.schedule(start, () -> group.candidateFaults().cutNext(cut));
            }
        }
    }

    /** Returns the first loss among a number of rounds, each with several seeds for every pair of faults. */
    private static Optional<String> firstLoss(
            int required, int configured, SimulatedSyncReplicas.Guards guards, long rounds) {
        return LongStream.range(0, rounds)
                .mapToObj(round -> firstLossOfRound(required, configured, guards, round))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private static Optional<String> firstLossOfRound(
            int required, int configured, SimulatedSyncReplicas.Guards guards, long round) {
        int kinds = PAIRED_FAULTS.size();
        return LongStream.range(0, kinds * kinds * PAIR_SEEDS)
                .parallel()
                .mapToObj(number -> {
                    int pair = (int) (number / PAIR_SEEDS);
                    long seed = round * PAIR_SEEDS + number % PAIR_SEEDS;
                    Scenario scenario = new Scenario(
                            PAIRED_FAULTS.get(pair / kinds),
                            PAIRED_FAULTS.get(pair % kinds),
                            required,
                            configured,
                            guards);
                    return scenario.run(BASE_SEED + pair * 1_000_003L + seed);
                })
                .filter(text -> !text.isEmpty())
                .findAny();
    }

    @Nested
    class WithAllSafeguards {

        @ParameterizedTest
        @ValueSource(ints = {1, 2})
        void promotedEndpointsHaveEveryAcknowledgedCommit(int syncReplicas) {
            assertThat(firstLoss(syncReplicas, syncReplicas, ALL_GUARDS, 1)).isEmpty();
        }

        /** Guards against the loss of commits of a primary that the failover could not see after its promotion. */
        @ParameterizedTest
        @ValueSource(ints = {1, 2})
        void promotedEndpointsHaveEveryCommitOfNewPrimariesThatAreCutOff(int syncReplicas) {
            assertThat(LongStream.range(0, Fault.values().length * PAIR_SEEDS * ROUNDS_WITH_PRIMARY_CUT)
                            .parallel()
                            .mapToObj(number -> {
                                Fault fault = Fault.values()[(int) (number % Fault.values().length)];
                                Scenario scenario =
                                        new Scenario(Fault.PRIMARY_CUT, fault, syncReplicas, syncReplicas, ALL_GUARDS);
                                return scenario.run(BASE_SEED + number);
                            })
                            .filter(text -> !text.isEmpty())
                            .findAny())
                    .isEmpty();
        }
    }

    /** Checks that the simulation finds a loss if a safeguard is missing. */
    @Nested
    class WithoutOneSafeguard {

        @Test
        void numberOfReplicasIsIgnored() {
            assertThat(firstLoss(1, 0, ALL_GUARDS, ROUNDS_WITHOUT_SAFEGUARD)).isPresent();
        }

        @Test
        void departedReplicasAreForgotten() {
            assertThat(firstLoss(1, 1, new SimulatedSyncReplicas.Guards(false, true), ROUNDS_WITHOUT_SAFEGUARD))
                    .isPresent();
        }

        @Test
        void restartsAreNotDistinguished() {
            assertThat(firstLoss(1, 1, new SimulatedSyncReplicas.Guards(true, false), ROUNDS_WITHOUT_SAFEGUARD))
                    .isPresent();
        }
    }
}
