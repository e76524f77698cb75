package org.lavenderwick.core.dispatch;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SilenceDetectorTest {

    private final SilenceDetector detector = SilenceDetector.create(Duration.ofMillis(700));

    private static Duration at(long millis) {
        return Duration.ofMillis(millis);
    }

    @Test
    void endpointThatOwesNothingIsNotSilent() {
        assertThat(detector.isSilent(at(10_000))).isFalse();
    }

    @Test
    void endpointThatOwesAnAnswerForLongIsSilent() {
        detector.asked(at(0));
        assertThat(detector.isSilent(at(700))).isFalse();
        assertThat(detector.isSilent(at(701))).isTrue();
    }

    @Test
    void furtherQuestionsDoNotEndTheSilence() {
        detector.asked(at(0));
        detector.asked(at(600));
        assertThat(detector.isSilent(at(701))).isTrue();
    }

    @Test
    void answerEndsTheSilence() {
        detector.asked(at(0));
        detector.answered(at(650), false);
        assertThat(detector.isSilent(at(5_000))).isFalse();
    }

    @Test
    void otherAnswersThatAreOwedCountFromTheLastOne() {
        detector.asked(at(0));
        detector.answered(at(650), true);
        assertThat(detector.isSilent(at(1_300))).isFalse();
        assertThat(detector.isSilent(at(1_351))).isTrue();
    }
}
