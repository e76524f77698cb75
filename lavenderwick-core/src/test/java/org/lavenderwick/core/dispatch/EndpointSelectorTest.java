package org.lavenderwick.core.dispatch;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.EndpointName;

import static org.assertj.core.api.Assertions.assertThat;

class EndpointSelectorTest {

    private static EndpointLoad load(String name, boolean primary, boolean near, int running) {
        return new EndpointLoad(EndpointName.of(name), primary, near, running, 2, false);
    }

    @Nested
    class Choice {

        @Test
        void replicaGoesBeforeThePrimary() {
            EndpointLoad replica = load("r", false, false, 1);
            assertThat(EndpointSelector.select(List.of(load("p", true, true, 0), replica), 1))
                    .contains(replica);
        }

        @Test
        void lessLoadedReplicaGoesBeforeANearOne() {
            EndpointLoad far = load("far", false, false, 0);
            assertThat(EndpointSelector.select(List.of(load("near", false, true, 1), far), 1))
                    .contains(far);
        }

        @Test
        void nearReplicaGoesFirstAtEqualLoad() {
            EndpointLoad near = load("z-near", false, true, 0);
            assertThat(EndpointSelector.select(List.of(load("a-far", false, false, 0), near), 1))
                    .contains(near);
        }

        @Test
        void suspectGoesLast() {
            EndpointLoad suspect = new EndpointLoad(EndpointName.of("s"), false, true, 0, 2, true);
            EndpointLoad primary = load("p", true, false, 1);
            assertThat(EndpointSelector.select(List.of(suspect, primary), 1)).contains(primary);
        }
    }

    @Nested
    class Ranks {

        @Test
        void floodOfTheLowestRankLeavesRoomForUrgentWork() {
            EndpointLoad full = load("r", false, true, 1);
            assertThat(EndpointSelector.select(List.of(full), 2)).isEmpty();
            assertThat(EndpointSelector.select(List.of(full), 0)).contains(full);
        }

        @Test
        void lowestRankIsNeverShutOut() {
            assertThat(EndpointSelector.limitForRank(load("r", false, true, 0), 9))
                    .isEqualTo(1);
        }
    }

    @Nested
    class Limits {

        @Test
        void ofAllDaemonsAddUpToTwiceTheSlots() {
            assertThat(EndpointSelector.limitPerDaemon(12, 6)).isEqualTo(4);
        }

        @Test
        void areAtLeastTwo() {
            assertThat(EndpointSelector.limitPerDaemon(2, 100)).isEqualTo(2);
        }
    }

    @Nested
    class Waits {

        private final WaitEstimator estimate = new WaitEstimator();

        @Test
        void areZeroWithoutAnyAnswer() {
            assertThat(estimate.expectedWait(100, 1)).isEqualTo(Duration.ZERO);
        }

        @Test
        void growWithTheQueue() {
            estimate.recordServiceTime(Duration.ofMillis(20));
            assertThat(estimate.expectedWait(10, 2)).isEqualTo(Duration.ofMillis(100));
        }
    }
}
