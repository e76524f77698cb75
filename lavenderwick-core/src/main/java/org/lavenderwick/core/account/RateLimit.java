package org.lavenderwick.core.account;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The number of operations that an account may run, over all daemons together.
 *
 * @param perSecond operations a second in the long run; not negative
 * @param burst operations that may be started at once after a rest; not negative
 */
public record RateLimit(double perSecond, double burst) {

    /** Checks the numbers. */
    public RateLimit {
        checkArgument(Double.isFinite(perSecond) && perSecond >= 0, "rate is negative or not finite: %s", perSecond);
        checkArgument(Double.isFinite(burst) && burst >= 0, "burst is negative or not finite: %s", burst);
    }
}
