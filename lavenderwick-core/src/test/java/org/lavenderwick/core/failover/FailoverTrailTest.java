package org.lavenderwick.core.failover;

import java.time.Instant;

import org.junit.jupiter.api.Test;
import org.lavenderwick.core.failover.FailoverTrail.Replacement;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.EndpointName;

import static org.assertj.core.api.Assertions.assertThat;

class FailoverTrailTest {

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
        FailoverTrail trail = FailoverTrail.EMPTY.with(replacement(1)).with(replacement(2));
        assertThat(FailoverTrail.decode(trail.encode()).replacements()).containsExactly(replacement(1), replacement(2));
    }

    @Test
    void leavesOutWhatCannotBeRead() {
        String text = "yesterday\td1\ta\tb\twhy\nnonsense\n"
                + FailoverTrail.EMPTY.with(replacement(1)).encode();
        assertThat(FailoverTrail.decode(text).replacements()).containsExactly(replacement(1));
    }

    @Test
    void keepsTheLatest() {
        FailoverTrail trail = FailoverTrail.EMPTY;
        for (int number = 1; number <= FailoverTrail.MAX_LENGTH + 2; number++) {
            trail = trail.with(replacement(number));
        }
        assertThat(trail.replacements()).hasSize(FailoverTrail.MAX_LENGTH).startsWith(replacement(3));
    }
}
