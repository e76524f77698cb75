package org.lavenderwick.core.failover;

import java.time.Instant;

import org.junit.jupiter.api.Test;
import org.lavenderwick.core.failover.FailoverHistory.Replacement;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.EndpointName;

import static org.assertj.core.api.Assertions.assertThat;

class FailoverHistoryTest {

    private static Replacement replacement(int number) {
        return new Replacement(
                Instant.EPOCH.plusSeconds(number),
                DaemonName.of("d1"),
                EndpointName.of("e" + number),
                EndpointName.of("e" + (number + 1)),
                "the primary is leaving");
    }

    @Test
    void isReadBackFromItsText() {
        FailoverHistory history = FailoverHistory.EMPTY.with(replacement(1)).with(replacement(2));
        assertThat(FailoverHistory.decode(history.encode()).replacements())
                .containsExactly(replacement(1), replacement(2));
    }

    @Test
    void skipsMalformedLines() {
        String text = "yesterday\td1\ta\tb\twhy\nnonsense\n"
                + FailoverHistory.EMPTY.with(replacement(1)).encode();
        assertThat(FailoverHistory.decode(text).replacements()).containsExactly(replacement(1));
    }

    @Test
    void keepsTheMostRecentReplacements() {
        FailoverHistory history = FailoverHistory.EMPTY;
        for (int number = 1; number <= FailoverHistory.MAX_LENGTH + 2; number++) {
            history = history.with(replacement(number));
        }
        assertThat(history.replacements()).hasSize(FailoverHistory.MAX_LENGTH).startsWith(replacement(3));
    }
}
