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
    void survivesItsTextForm() {
        FailoverHistory trail = FailoverHistory.EMPTY.with(replacement(1)).with(replacement(2));
        assertThat(FailoverHistory.decode(trail.encode()).replacements())
                .containsExactly(replacement(1), replacement(2));
    }

    @Test
    void leavesOutWhatCannotBeRead() {
        String text = "yesterday\td1\ta\tb\twhy\nnonsense\n"
                + FailoverHistory.EMPTY.with(replacement(1)).encode();
        assertThat(FailoverHistory.decode(text).replacements()).containsExactly(replacement(1));
    }

    @Test
    void keepsTheLatest() {
        FailoverHistory trail = FailoverHistory.EMPTY;
        for (int number = 1; number <= FailoverHistory.MAX_LENGTH + 2; number++) {
            trail = trail.with(replacement(number));
        }
        assertThat(trail.replacements()).hasSize(FailoverHistory.MAX_LENGTH).startsWith(replacement(3));
    }
}
