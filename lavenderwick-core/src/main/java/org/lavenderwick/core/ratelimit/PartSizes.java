package org.lavenderwick.core.ratelimit;

import java.time.Duration;

import org.lavenderwick.core.account.RateLimit;
import org.lavenderwick.core.account.RateLimitBounds;

/**
 * The sizes of one part of a limit.
 *
 * <p>Let r be the rate of the limit, b its burst, W the window and A the allowance {@code (r W + b) excess + slack}, so
 * that a window may hold {@code r W + b + A} operations. An operation counts in a window if it was sent and started in
 * it; it uses its permit in between. All parts together have the capacity {@code b + A/2}.
 *
 * <ul>
 *   <li>Within one tenure, the permits that may still be used and those that may be issued are at most the capacity
 *       at the start of the window. Permits that are issued later come from what the part gained meanwhile. A window
 *       holds at most {@code b + A/2 + r W}.
 *   <li>A new grantor does not know of the permits of the one before. It starts with nothing, and for the lifetime of a
 *       permit, after which no permit of the one before can be used, its capacity is {@code A/4} over all parts. A
 *       window that starts in this time holds at most {@code b + A/2 + A/4 + r W}.
 * </ul>
 *
 * <p>The last quarter of A covers clocks that run at different speeds. At most one grantor before the present one has
 * permits that may still be used, since a grantor that is replaced within the lifetime is replaced after a wait.
 *
 * @param perSecond permits that the part gains a second
 * @param capacity permits that may be in use or available
 * @param initialCapacity the same in the first lifetime after a new grantor has started
 */
public record PartSizes(double perSecond, double capacity, double initialCapacity) {

    /**
     * Time for which a permit may be used, counted by the asker from when it sent its request. A longer time saves
     * messages. A grantor that is cut off before a lower limit is confirmed grants for at most 6 s and its permits last
     * 3 s more, which is less than the bound of a change (5 s) and a window (5 s).
     */
    public static final Duration LIFETIME = Duration.ofSeconds(3);

    private static final double CAPACITY_SHARE = 1 / 2.0;

    private static final double INITIAL_SHARE = 1 / 4.0;

    /** Returns the sizes of a part of a limit. */
    public static PartSizes of(RateLimit limit, RateLimitBounds bounds) {
        double seconds = bounds.window().toNanos() / 1e9;
        double allowance = bounds.maxOperations(limit) - limit.perSecond() * seconds - limit.burst();
        return new PartSizes(
                limit.perSecond() / PartId.PARTS,
                (limit.burst() + allowance * CAPACITY_SHARE) / PartId.PARTS,
                allowance * INITIAL_SHARE / PartId.PARTS);
    }
}
