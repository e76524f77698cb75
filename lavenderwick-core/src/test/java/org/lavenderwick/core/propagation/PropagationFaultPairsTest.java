package org.lavenderwick.core.propagation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks in simulated time what daemons know of the configuration under every pair of faults. */
class PropagationFaultPairsTest {

    private static final int DEFAULT_SEEDS = 2;

    /** Start of the first fault; the fleet has settled by then. */
    private static final int FAULTS_FROM = 6000;

    private static final int END = 22_000;

    /** Faults that, with most of the fleet refused by the store, make content circulate. */
    private static final List<PropagationFault> CIRCULATION = List.of(
            PropagationFault.FLEET_BUSY,
            PropagationFault.HOSTS_SLOW,
            PropagationFault.MOST_REFUSED,
            PropagationFault.THIRD_BUSY,
            PropagationFault.THIRD_REFUSED);

    private static final int CIRCULATION_SEEDS = 40;

    /**
     * Returns a fleet of a random size under two faults that overlap at random, while the configuration changes. Even
     * seeds have a large fleet and a bound of 5 s, odd ones a small fleet and 3 s.
     */
    private static PropagationSimulation create(PropagationFault first, PropagationFault second, long seed) {
        boolean large = seed % 2 == 0;
        Random draw = new Random(seed * 31 + first.ordinal() * 100L + second.ordinal());
        int size = large ? 12 + draw.nextInt(84) : 6 + draw.nextInt(6);
        PropagationSimulation simulation = new PropagationSimulation(
                draw.nextLong(), Duration.ofSeconds(large ? 5 : 3), size, 3 + draw.nextInt(2));
        int gap = draw.nextInt(5000);
        simulation.at(FAULTS_FROM, () -> first.start(simulation, 4000 + draw.nextInt(6000)));
        simulation.at(FAULTS_FROM + gap, () -> second.start(simulation, 4000 + draw.nextInt(6000)));
        int change = 1000;
        while (change < END) {
            simulation.at(change, simulation.store::configure);
            change += draw.nextInt(4) == 0 ? 100 + draw.nextInt(400) : 500 + draw.nextInt(4000);
        }
        return simulation;
    }

    private static PropagationSimulation run(PropagationFault first, PropagationFault second, long seed) {
        PropagationSimulation simulation = create(first, second, seed);
        simulation.run(END);
        return simulation;
    }

    private interface Check {
        void accept(String run, PropagationSimulation simulation);
    }

    private static void forEachPair(Check check) {
        int seeds = Integer.getInteger("lavenderwick.propagation.pairs.seeds", DEFAULT_SEEDS);
        for (PropagationFault first : PropagationFault.values()) {
            for (PropagationFault second : PropagationFault.values()) {
                for (long seed = 0; seed < seeds; seed++) {
                    check.accept(first + " and " + second + ", seed " + seed, run(first, second, seed));
                }
            }
        }
    }

    private static void assertInTime(String run, PropagationSimulation simulation) {
        assertThat(simulation.worstLag().millis())
                .as("%s: %s", run, simulation.worstLag())
                .isLessThanOrEqualTo(simulation.bound().toMillis());
    }

    @Nested
    class Arrival {

        @Test
        void everyChangeIsInForceInTime() {
            forEachPair(PropagationFaultPairsTest::assertInTime);
        }

        /**
         * Guards against daemons that have the store and do not read it, because daemons without the store pass old
         * content to each other and each time call it a little younger.
         */
        @Test
        void oldContentInCirculationKeepsNoDaemonFromTheStore() {
            forEachCirculation((run, simulation) -> {
                simulation.run(END);
                assertInTime(run, simulation);
            });
        }

        /** The guard of the design: content that is dated from its arrival misses the bound in the same runs. */
        @Test
        void contentThatIsDatedFromItsArrivalMissesTheBound() {
            List<String> late = new ArrayList<>();
            forEachCirculation((run, simulation) -> {
                simulation.dateByArrival();
                simulation.run(END);
                if (simulation.worstLag().millis() > simulation.bound().toMillis()) {
                    late.add(run);
                }
            });
            assertThat(late).isNotEmpty();
        }

        /** Passes on fleets in which most daemons have lost the store, and messages take long. */
        private static void forEachCirculation(Check check) {
            for (PropagationFault second : CIRCULATION) {
                for (long seed = 0; seed < CIRCULATION_SEEDS; seed++) {
                    check.accept(second + ", seed " + seed, create(PropagationFault.MOST_REFUSED, second, seed));
                }
            }
        }
    }

    @Nested
    class Denial {

        /** Guards against 'no such database' from a daemon that knows that its configuration may be out of date. */
        @Test
        void noDaemonDeniesWhatHasBeenInForceForLongerThanTheBound() {
            forEachPair((run, simulation) -> assertThat(simulation.worstDenial().millis())
                    .as("%s: %s", run, simulation.worstDenial())
                    .isLessThanOrEqualTo(simulation.bound().toMillis()));
        }
    }
}
