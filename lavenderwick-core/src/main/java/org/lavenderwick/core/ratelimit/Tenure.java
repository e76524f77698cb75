package org.lavenderwick.core.ratelimit;

import java.time.Duration;

/**
 * A time in which a daemon may grant permits for a part.
 *
 * @param acquisition number of the acquisition of the entry, unique in the process
 * @param startsAt when the wait after the acquisition is over
 * @param confirmedAt when the last successful renewal, or the acquisition, was sent
 */
public record Tenure(long acquisition, Duration startsAt, Duration confirmedAt) {

    /**
     * Time after the last successful renewal was sent during which a holder grants, and for which a new holder waits.
     * Equals the time to live of the lease of the entries. A lease may be revoked without its holder noticing before
     * its next renewal, so a new holder cannot tell from the absence of the entry that the one before has stopped.
     */
    public static final Duration TERM = Duration.ofSeconds(6);

    /** Returns whether permits may be granted. Evidence from before {@code discardedUntil} does not count. */
    boolean covers(Duration now, Duration discardedUntil) {
        return startsAt.compareTo(now) <= 0
                && now.compareTo(confirmedAt.plus(TERM)) < 0
                && confirmedAt.compareTo(discardedUntil) > 0;
    }
}
