package org.lavenderwick.core.time;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SuspensionsTest {

    private final Suspensions suspensions = Suspensions.create();

    private static Duration seconds(long number) {
        return Duration.ofSeconds(number);
    }

    /** Guards against members that stay valid because the clock stopped while their confirmation aged. */
    @Test
    void countForEarlierMomentsOnly() {
        suspensions.record(seconds(10), seconds(3));
        suspensions.record(seconds(20), seconds(4));
        assertThat(suspensions.since(seconds(5))).isEqualTo(seconds(7));
        assertThat(suspensions.since(seconds(15))).isEqualTo(seconds(4));
        assertThat(suspensions.since(seconds(25))).isZero();
    }

    /** Guards against an age that grows for ever on a host that is suspended often. */
    @Test
    void forgottenOnesDoNotCountForLaterMoments() {
        for (int number = 1; number <= 500; number++) {
            suspensions.record(seconds(number), seconds(1));
        }
        assertThat(suspensions.since(seconds(498))).isEqualTo(seconds(3));
        assertThat(suspensions.since(seconds(0))).isEqualTo(seconds(500));
    }
}
