package org.lavenderwick.core.promotion;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Times on which evidence and promotion rest. The evidence age, the drift bound and the margin decide about safety and
 * must be the same in the whole fleet; the others only decide how soon something happens.
 *
 * @param evidenceMaxAge age up to which evidence for a term counts, from before its question was sent
 * @param clockDriftBound bound of the rate error of every monotonic clock, as a fraction
 * @param margin added to the wait after the seal majority
 * @param probeInterval time without an answer of the primary after which it is probed
 * @param suspicionAfter time without an answer of the primary after which it is taken for unreachable
 * @param leaseTtl time to live of the coordinator's lease
 * @param platformTimeout time after which a platform call counts as unanswered
 * @param endpointTimeout time for which the coordinator waits for the slowest endpoint
 * @param promoteLimit time for the candidate to answer before its term is given up
 * @param drainLimit time for the drain and the catching up of a planned switchover before it is aborted
 * @param startLimit time after which a coordinator that changed nothing yet gives up
 * @param retryBase upper bound of the first retry delay
 * @param retryCap upper bound of every retry delay
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

    /** Age up to which evidence for a term counts. It is most of the gap in writes during a failover. */
    public static final Duration EVIDENCE_MAX_AGE = Duration.ofMillis(1_500);

    /** Bound of the rate error of a monotonic clock; quartz clocks stay below a tenth of it. */
    public static final double CLOCK_DRIFT_BOUND = 0.001;

    /** Added to the wait; covers the terms of second order in the drift bound, about 3 microseconds. */
    public static final Duration MARGIN = Duration.ofMillis(100);

    /** The values that the fleet uses. */
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

    /** Checks the ranges. */
    public PromotionTimings {
        checkArgument(clockDriftBound >= 0 && clockDriftBound < 0.1, "drift bound out of range: %s", clockDriftBound);
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
        checkArgument(probeInterval.compareTo(suspicionAfter) < 0, "no probe falls within suspicionAfter");
        checkArgument(platformTimeout.compareTo(leaseTtl) < 0, "platformTimeout is not below leaseTtl");
        checkArgument(retryBase.compareTo(retryCap) <= 0, "retryBase is above retryCap");
    }

    private static void checkPositive(Duration value, String name) {
        checkArgument(!value.isNegative() && !value.isZero(), "%s is not positive: %s", name, value);
    }

    /** Returns how long a coordinator waits after the seal majority: G(1+2ρ) plus the margin. */
    public Duration sealWait() {
        return scaled(evidenceMaxAge, 1 + 2 * clockDriftBound).plus(margin);
    }

    /** Returns how long after asking for it a lease may be used; the platform's clock may run faster than ours. */
    public Duration leaseUsable() {
        return scaled(leaseTtl, 1 - 2 * clockDriftBound);
    }

    private static Duration scaled(Duration value, double factor) {
        return Duration.ofNanos((long) Math.ceil(value.toNanos() * factor));
    }
}
