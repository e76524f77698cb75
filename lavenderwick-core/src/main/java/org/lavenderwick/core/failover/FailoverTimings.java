package org.lavenderwick.core.failover;

import java.time.Duration;

/**
 * Times of evidence and failover.
 *
 * @param evidenceAge how long evidence counts, from the moment at which it was asked for
 * @param promiseAge how long a promise of an endpoint is relied upon after evidence has ended; an endpoint that
 *     restarts forgets it, so daemons ask for evidence only on connections that have been open for longer
 * @param margin added to the wait for evidence to end, for clocks that run at different rates
 * @param dutyLease time to live of the entry that gives one daemon the duty
 * @param retryPause pause before a step is tried again
 * @param voteLimit time after which a failover without any promise is given up
 * @param gatherTime time for slow endpoints to answer, so that the most advanced one is found
 * @param catchUpLimit longest wait for the candidate of a planned replacement to receive the whole log
 */
public record FailoverTimings(
        Duration evidenceAge,
        Duration promiseAge,
        Duration margin,
        Duration dutyLease,
        Duration retryPause,
        Duration voteLimit,
        Duration gatherTime,
        Duration catchUpLimit) {

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
    public Duration settledConnection() {
        return evidenceEnd().plus(promiseAge).plus(promiseAge);
    }

    /** Returns how long after the last source of evidence has ended no evidence can count any more. */
    public Duration evidenceEnd() {
        return evidenceAge.plus(margin);
    }
}
