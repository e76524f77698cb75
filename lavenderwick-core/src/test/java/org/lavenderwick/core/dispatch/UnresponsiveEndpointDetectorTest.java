package org.lavenderwick.core.dispatch;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UnresponsiveEndpointDetectorTest {

    private final UnresponsiveEndpointDetector detector = UnresponsiveEndpointDetector.create(Duration.ofMillis(700));

    private static Duration at(long millis) {
        return Duration.ofMillis(millis);
    }

    @Test
    void isResponsiveWithoutPendingRequests() {
        assertThat(detector.isUnresponsive(at(10_000))).isFalse();
    }

    @Test
    void isUnresponsiveAfterTheTimeout() {
        detector.onRequestSent(at(0));
        assertThat(detector.isUnresponsive(at(700))).isFalse();
        assertThat(detector.isUnresponsive(at(701))).isTrue();
    }

    @Test
    void furtherRequestsDoNotRestartTheWait() {
        detector.onRequestSent(at(0));
        detector.onRequestSent(at(600));
        assertThat(detector.isUnresponsive(at(701))).isTrue();
    }

    @Test
    void isResponsiveAfterAResponse() {
        detector.onRequestSent(at(0));
        detector.onResponse(at(650), false);
        assertThat(detector.isUnresponsive(at(5_000))).isFalse();
    }

    @Test
    void responseRestartsTheWaitForOtherPendingRequests() {
        detector.onRequestSent(at(0));
        detector.onResponse(at(650), true);
        assertThat(detector.isUnresponsive(at(1_300))).isFalse();
        assertThat(detector.isUnresponsive(at(1_351))).isTrue();
    }
}
