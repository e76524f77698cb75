package org.lavenderwick.core.propagation;

import java.time.Duration;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FeedProbesTest {

    private static Duration at(long millis) {
        return Duration.ofMillis(millis);
    }

    @Nested
    class Dating {

        private final FeedProbes probes = FeedProbes.create(at(1000));

        @Test
        void startsFromTheSubscription() {
            assertThat(probes.knownAt(at(200), at(1600))).isEqualTo(at(800));
        }

        /** Guards against time in transit that makes content look younger than it is. */
        @Test
        void doesNotCountTimeInTransitAsRecent() {
            long number = probes.next(at(1500));
            assertThat(probes.onAnswer(number)).isTrue();
            assertThat(probes.knownAt(at(200), at(2400))).isEqualTo(at(1300));
        }

        @Test
        void doesNotAdvanceWithAnUnansweredProbe() {
            probes.next(at(1500));
            assertThat(probes.knownAt(at(200), at(1600))).isEqualTo(at(800));
        }

        /** Guards against an answer to an earlier probe that dates content from a later one. */
        @Test
        void ignoresAnAnswerToAnotherProbe() {
            assertThat(probes.onAnswer(0)).isFalse();
            long number = probes.next(at(1500));
            assertThat(probes.onAnswer(number + 1)).isFalse();
            assertThat(probes.onAnswer(number)).isTrue();
            assertThat(probes.onAnswer(number)).isFalse();
        }

        @Test
        void countsFromTheArrivalIfTheFeedDoesNotAnswerProbes() {
            FeedProbes unsupported = FeedProbes.unsupported();
            assertThat(unsupported.isDue(at(9000))).isFalse();
            assertThat(unsupported.knownAt(at(200), at(1600))).isEqualTo(at(1400));
        }
    }

    @Nested
    class Schedule {

        private final FeedProbes probes = FeedProbes.create(at(1000));

        @Test
        void sendsAProbeWithEachHeartbeat() {
            assertThat(probes.isDue(at(1399))).isFalse();
            assertThat(probes.isDue(at(1400))).isTrue();
        }

        @Test
        void sendsNoProbeWhileOneIsOutstanding() {
            long number = probes.next(at(1500));
            assertThat(probes.awaitsFirstAnswer()).isTrue();
            assertThat(probes.isDue(at(3000))).isFalse();
            probes.onAnswer(number);
            assertThat(probes.awaitsFirstAnswer()).isFalse();
            assertThat(probes.isDue(at(3000))).isTrue();
        }
    }
}
