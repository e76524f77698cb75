package org.lavenderwick.core.failover;

import java.time.Duration;

/**
 * Times of evidence and failover.
 *
 * @param evidenceMaxAge how long evidence counts, from the moment at which it was asked for
 * @param promiseMaxAge how long a promise of an endpoint is relied upon after evidence has ended; an endpoint that
 *     restarts forgets it, so daemons ask for evidence only on connections that have been open for longer
 * @param clockMargin added to the wait for evidence to end, for clocks that run at different rates
 * @param lockTtl time to live of the entry that gives one daemon the duty
 * @param retryDelay pause before a step is tried again
 * @param promiseTimeout time after which a failover without any promise is given up
 * @param promiseGracePeriod time for slow endpoints to answer, so that the most advanced one is found
 * @param catchUpTimeout longest wait for the candidate of a planned replacement to receive the whole log
 */
public record FailoverTimings(
        Duration evidenceMaxAge,
        Duration promiseMaxAge,
        Duration clockMargin,
        Duration lockTtl,
        Duration retryDelay,
        Duration promiseTimeout,
        Duration promiseGracePeriod,
        Duration catchUpTimeout) {

    /** The times that daemons use; all daemons of a fleet must use the same. */
    public static final FailoverTimings DEFAULTS = new FailoverTimings(
            Duration.ofMillis(1000),
            Duration.ofMillis(1500),
            Duration.ofMillis(100),
            Duration.ofSeconds(2),
            Duration.ofMillis(150),
            Duration.ofSeconds(4),
            Duration.ofMillis(300),
            Duration.ofSeconds(1));

    /** Returns for how long a connection must have been open for a report on it to count as evidence. */
    public Duration minConnectionAge() {
        return evidenceExpiry().plus(promiseMaxAge).plus(promiseMaxAge);
    }

    /** Returns how long after the last source of evidence has ended no evidence can count any more. */
    public Duration evidenceExpiry() {
        return evidenceMaxAge.plus(clockMargin);
    }
}
