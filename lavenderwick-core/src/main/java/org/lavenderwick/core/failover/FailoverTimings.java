package org.lavenderwick.core.failover;

import java.time.Duration;

/**
 * Validity periods of evidence and promises, and timeouts of a failover.
 *
 * @param evidenceMaxAge how long evidence is valid, counted from sending the request that obtained it
 * @param promiseMaxAge how long a failover relies on promises after all evidence has expired; an endpoint forgets its
 *     promise when it restarts, so a report counts as evidence only on a connection of {@link #minConnectionAge}
 * @param clockMargin added to the wait for the expiry of evidence, for clocks that run at different rates
 * @param lockTtl time to live of the lease of the failover lock
 * @param retryDelay delay before a step is retried
 * @param promiseTimeout time after which a failover without any promise gives up
 * @param promiseGracePeriod time to wait for promises of the remaining endpoints if at least one has promised, so that
 *     a slow endpoint with a newer log position is considered as a candidate
 * @param catchUpTimeout longest wait for the candidate of a planned replacement to receive the rest of the log
 * @param membershipMaxAge how long the members that a daemon knows count for evidence from the endpoints, after the
 *     term record was last confirmed. An outage of the store that is longer leaves groups without a proven primary; a
 *     new endpoint can be promoted only after that time, unless the old primary has been demoted.
 */
public record FailoverTimings(
        Duration evidenceMaxAge,
        Duration promiseMaxAge,
        Duration clockMargin,
        Duration lockTtl,
        Duration retryDelay,
        Duration promiseTimeout,
        Duration promiseGracePeriod,
        Duration catchUpTimeout,
        Duration membershipMaxAge) {

    /** Status polls per retry delay while the candidate of a planned replacement catches up. */
    private static final int CATCH_UP_POLLS_PER_RETRY_DELAY = 5;

    /** The share of the maximum age of memberships by which clocks may differ, as a divisor. */
    private static final int CLOCK_RATE_MARGIN = 20;

    /** The values that daemons use. They must be the same in all daemons of a fleet. */
    public static final FailoverTimings DEFAULTS = new FailoverTimings(
            Duration.ofMillis(1000),
            Duration.ofMillis(1500),
            Duration.ofMillis(100),
            Duration.ofSeconds(2),
            Duration.ofMillis(150),
            Duration.ofSeconds(4),
            Duration.ofMillis(300),
            Duration.ofSeconds(1),
            Duration.ofSeconds(10));

    /** Returns the delay between two looks at a candidate that is catching up. */
    Duration catchUpPollDelay() {
        return retryDelay.dividedBy(CATCH_UP_POLLS_PER_RETRY_DELAY);
    }

    /** Returns the minimum age of a connection for a report received on it to count as evidence. */
    public Duration minConnectionAge() {
        return evidenceExpiry().plus(promiseMaxAge).plus(promiseMaxAge);
    }

    /** Returns the time after which all evidence has expired, counted from the end of its last source. */
    public Duration evidenceExpiry() {
        return evidenceMaxAge.plus(clockMargin);
    }

    /**
     * Returns the time after which no daemon relies on the members that it knew before a change of the term record,
     * counted from the revocation of the leases that could still confirm them.
     */
    public Duration membershipExpiry() {
        return membershipMaxAge
                .plus(membershipMaxAge.dividedBy(CLOCK_RATE_MARGIN))
                .plus(evidenceExpiry());
    }
}
