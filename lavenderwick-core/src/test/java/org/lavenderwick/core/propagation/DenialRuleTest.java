package org.lavenderwick.core.propagation;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class DenialRuleTest {

    private static final Duration CURRENT_AT = Duration.ofSeconds(100);
    private static final Duration NEVER = Duration.ofSeconds(-1);

    private final DenialRule rule = DenialRule.of(Duration.ofSeconds(5));
    private final ContentStatus content = new ContentStatus(7, CURRENT_AT, "the store");

    @Test
    void permitsADenialByContentThatWasTheNewestAShortTimeAgo() {
        assertThat(rule.permits(content, NEVER, CURRENT_AT.plusMillis(4000))).isTrue();
        assertThat(rule.permits(content, NEVER, CURRENT_AT.plusMillis(4001))).isFalse();
    }

    @Test
    void permitsNoDenialWithoutContent() {
        assertThat(rule.permits(ContentStatus.NONE, NEVER, CURRENT_AT)).isFalse();
    }

    /** Guards against content from before a suspension, whose time the monotonic clock does not count. */
    @Test
    void permitsNoDenialByWhatWasLearnedBeforeASuspension() {
        Duration now = CURRENT_AT.plusMillis(100);
        assertThat(rule.permits(content, CURRENT_AT, now)).isFalse();
        assertThat(rule.permits(content, CURRENT_AT.minusMillis(1), now)).isTrue();
    }

    @Test
    void rejectsABoundThatIsNotPositive() {
        assertThatThrownBy(() -> DenialRule.of(Duration.ZERO))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessage("maximum change delay is PT0S, expected a positive duration");
    }
}
