package org.lavenderwick.core.promotion;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Time limits of term evidence and promotion. Safety depends on {@code evidenceMaxAge}, {@code clockDriftBound} and
 * {@code margin}, which must be equal on all daemons of the fleet. The other values affect only how soon something
 * happens.
 *
 * @param evidenceMaxAge maximum age of evidence for a term, counted from before the request was sent
 * @param clockDriftBound maximum rate error of a monotonic clock, as a fraction
 * @param margin time added to the wait after a majority of the endpoints is sealed
 * @param probeInterval time without a response from the primary after which it is probed
 * @param suspicionAfter time without a response from the primary after which it is suspected to be unreachable
 * @param leaseTtl time to live of the coordinator's lease
 * @param platformTimeout timeout of a platform call
 * @param endpointTimeout timeout of an endpoint call
 * @param promoteLimit time for the candidate to accept its promotion before its term is closed
 * @param drainLimit time for the primary to drain and a candidate to catch up before a switchover is aborted
 * @param startLimit time after which a coordinator that has changed nothing gives up
 * @param retryBase upper bound of the first backoff delay
 * @param retryCap upper bound of every backoff delay
 */
public record PromotionTimings(
        Duration evidenceMaxAge,
        double clockDriftBound,
        Duration margin,
        Duration probeInterval,
        Duration suspicionAfter,
        Duration leaseTtl,
        Duration platformTimeout,
        Duration endpointTimeout,
        Duration promoteLimit,
        Duration drainLimit,
        Duration startLimit,
        Duration retryBase,
        Duration retryCap) {

    /** Maximum age of evidence for a term. It makes up most of the write unavailability during a failover. */
    public static final Duration EVIDENCE_MAX_AGE = Duration.ofMillis(1_500);

    /** Maximum rate error of a monotonic clock, as a fraction; quartz clocks stay below a tenth of it. */
    public static final double CLOCK_DRIFT_BOUND = 0.001;

    /** Time added to the seal wait; covers the second-order terms of the clock drift, about 3 microseconds. */
    public static final Duration MARGIN = Duration.ofMillis(100);

    /** The timings used in production. */
    public static final PromotionTimings DEFAULT = new PromotionTimings(
            EVIDENCE_MAX_AGE,
            CLOCK_DRIFT_BOUND,
            MARGIN,
            Duration.ofMillis(500),
            Duration.ofSeconds(1),
            Duration.ofSeconds(5),
            Duration.ofSeconds(1),
            Duration.ofMillis(300),
            Duration.ofMillis(1_500),
            Duration.ofSeconds(4),
            Duration.ofSeconds(10),
            Duration.ofMillis(100),
            Duration.ofSeconds(1));

    /**
     * Checks that the values are in range.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public PromotionTimings {
        checkArgument(
                clockDriftBound >= 0 && clockDriftBound < 0.1,
                "clockDriftBound is not in [0, 0.1): %s",
                clockDriftBound);
        checkArgument(!margin.isNegative(), "margin is negative: %s", margin);
        checkPositive(evidenceMaxAge, "evidenceMaxAge");
        checkPositive(probeInterval, "probeInterval");
        checkPositive(leaseTtl, "leaseTtl");
        checkPositive(platformTimeout, "platformTimeout");
        checkPositive(endpointTimeout, "endpointTimeout");
        checkPositive(promoteLimit, "promoteLimit");
        checkPositive(drainLimit, "drainLimit");
        checkPositive(startLimit, "startLimit");
        checkPositive(retryBase, "retryBase");
        checkArgument(probeInterval.compareTo(suspicionAfter) < 0, "probeInterval is not below suspicionAfter");
        checkArgument(platformTimeout.compareTo(leaseTtl) < 0, "platformTimeout is not below leaseTtl");
        checkArgument(retryBase.compareTo(retryCap) <= 0, "retryBase is above retryCap");
    }

    private static void checkPositive(Duration value, String name) {
        checkArgument(!value.isNegative() && !value.isZero(), "%s is not positive: %s", name, value);
    }

    /**
     * Returns how long a coordinator waits after a majority of the endpoints is sealed. The wait is G(1+2ρ) plus the
     * margin, where G is the maximum age of evidence and ρ the clock drift bound. After it, no evidence for the closed
     * term is valid on any daemon.
     */
    public Duration sealWait() {
        return scaled(evidenceMaxAge, 1 + 2 * clockDriftBound).plus(margin);
    }

    /**
     * Returns how long a lease may be used, counted from before its request was sent. This is shorter than the time to
     * live because the platform's clock may run faster than the local clock.
     */
    public Duration leaseValidity() {
        return scaled(leaseTtl, 1 - 2 * clockDriftBound);
    }

    private static Duration scaled(Duration value, double factor) {
        return Duration.ofNanos((long) Math.ceil(value.toNanos() * factor));
    }
}
