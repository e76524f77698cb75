package org.lavenderwick.core.connections.account;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Compares the rule of eviction with others on the accounts of one group, whose sizes follow a power law. */
class CacheReplayTest {

    private static final double EXPONENT = 1.2;
    private static final Duration LENGTH = Duration.ofMinutes(10);

    /**
     * Guards against a rule that spends more on new connections than the eviction of the connection that has been
     * unused for the longest time.
     */
    @ParameterizedTest(name = "{0} accounts, {1} connections, {2}/s, hot factor {3}, seed {4}")
    @CsvSource({
        "78, 66, 126, 1, 1",
        "78, 66, 126, 1, 2",
        "78, 66, 126, 5, 3",
        "78, 66, 500, 1, 4",
        "12, 9, 18, 1, 5",
        "12, 9, 18, 5, 6"
    })
    void expectedUseBeatsLeastRecentlyUsed(
            int accounts, int connections, double perSecond, double hotFactor, long seed) {
        List<CacheReplay.Operation> operations =
                CacheReplay.powerLaw(seed, accounts, EXPONENT, perSecond, LENGTH, hotFactor);
        CacheReplay.Result rule = CacheReplay.byExpectedUse(connections, operations);
        CacheReplay.Result leastRecent = CacheReplay.leastRecentlyUsed(connections, operations);
        CacheReplay.Result hindsight = CacheReplay.furthestNextUse(connections, operations);
        System.out.printf(
                "%d accounts, %d connections, %d operations: waited for a new connection %.4f (least recently used"
                        + " %.4f, hindsight %.4f); opening %d ms (%d ms, %d ms); gap to hindsight %.4f%n",
                accounts,
                connections,
                rule.operations(),
                rule.waitedPart(),
                leastRecent.waitedPart(),
                hindsight.waitedPart(),
                rule.openingTime().toMillis(),
                leastRecent.openingTime().toMillis(),
                hindsight.openingTime().toMillis(),
                rule.waitedPart() - hindsight.waitedPart());
        assertThat(rule.waitedForNew()).isLessThan(leastRecent.waitedForNew());
        assertThat(rule.opened()).isLessThan(leastRecent.opened());
    }
}
