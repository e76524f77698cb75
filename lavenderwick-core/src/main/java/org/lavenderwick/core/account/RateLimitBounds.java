package org.lavenderwick.core.account;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How exactly rate limits are kept. In any window, an account runs at most
 * {@code (rate * window + burst) * (1 + excess) + slack} operations.
 *
 * @param window length of the window
 * @param excess fraction of the limit by which it may be exceeded
 * @param slack operations by which it may be exceeded besides
 */
public record RateLimitBounds(Duration window, double excess, double slack) {

    /** Checks the numbers. */
    public RateLimitBounds {
        checkArgument(!window.isNegative() && !window.isZero(), "window is not positive: %s", window);
        checkArgument(excess >= 0, "excess is negative: %s", excess);
        checkArgument(slack >= 0, "slack is negative: %s", slack);
    }

    /** Returns the highest number of operations that an account with the given limit may run in one window. */
    public double maxOperations(RateLimit limit) {
        double seconds = window.toNanos() / 1e9;
        return (limit.perSecond() * seconds + limit.burst()) * (1 + excess) + slack;
    }
}
