package org.lavenderwick.core.dispatch;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.EndpointName;

import static org.assertj.core.api.Assertions.assertThat;

class EndpointSelectorTest {

    private static EndpointLoad load(String name, boolean primary, boolean sameDomain, int inFlight) {
        return new EndpointLoad(EndpointName.of(name), primary, sameDomain, inFlight, 2, false);
    }

    @Nested
    class Selection {

        @Test
        void prefersAReplicaToThePrimary() {
            EndpointLoad replica = load("r", false, false, 1);
            assertThat(EndpointSelector.select(List.of(load("p", true, true, 0), replica), 1))
                    .contains(replica);
        }

        @Test
        void prefersTheLessLoadedReplicaToOneInTheSameDomain() {
            EndpointLoad far = load("far", false, false, 0);
            assertThat(EndpointSelector.select(List.of(load("near", false, true, 1), far), 1))
                    .contains(far);
        }

        @Test
        void prefersTheReplicaInTheSameDomainAtEqualLoad() {
            EndpointLoad near = load("z-near", false, true, 0);
            assertThat(EndpointSelector.select(List.of(load("a-far", false, false, 0), near), 1))
                    .contains(near);
        }

        @Test
        void prefersAnyEndpointToAnUnresponsiveOne() {
            EndpointLoad unresponsive = new EndpointLoad(EndpointName.of("s"), false, true, 0, 2, true);
            EndpointLoad primary = load("p", true, false, 1);
            assertThat(EndpointSelector.select(List.of(unresponsive, primary), 1))
                    .contains(primary);
        }
    }

    @Nested
    class Ranks {

        @Test
        void leastUrgentRankLeavesCapacityForUrgentStatements() {
            EndpointLoad busy = load("r", false, true, 1);
            assertThat(EndpointSelector.select(List.of(busy), 2)).isEmpty();
            assertThat(EndpointSelector.select(List.of(busy), 0)).contains(busy);
        }

        @Test
        void limitIsAtLeastOneForEveryRank() {
            assertThat(EndpointSelector.limitForRank(load("r", false, true, 0), 9))
                    .isEqualTo(1);
        }
    }

    @Nested
    class Limits {

        @Test
        void ofAllDaemonsSumToTwiceTheSlots() {
            assertThat(EndpointSelector.limitPerDaemon(12, 6)).isEqualTo(4);
        }

        @Test
        void areAtLeastTwo() {
            assertThat(EndpointSelector.limitPerDaemon(2, 100)).isEqualTo(2);
        }
    }

    @Nested
    class WaitEstimates {

        private final WaitEstimator estimator = new WaitEstimator();

        @Test
        void areZeroBeforeTheFirstResponse() {
            assertThat(estimator.expectedWait(100, 1)).isEqualTo(Duration.ZERO);
        }

        @Test
        void growWithTheQueue() {
            estimator.recordServiceTime(Duration.ofMillis(20));
            assertThat(estimator.expectedWait(10, 2)).isEqualTo(Duration.ofMillis(100));
        }
    }
}
