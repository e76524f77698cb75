package org.lavenderwick.core.time;

import java.time.Duration;
import java.util.random.RandomGenerator;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Exponential backoff with full jitter: each delay is uniform below a bound that doubles up to a cap, so that callers
 * that failed together do not retry together. Confined to one thread.
 */
public final class Backoff {

    private final long base;
    private final long cap;
    private final RandomGenerator random;
    private long bound;

    private Backoff(long base, long cap, RandomGenerator random) {
        this.base = base;
        this.cap = cap;
        this.random = random;
        this.bound = base;
    }

    /** Returns a backoff whose delays lie first below the base and never above the cap. */
    public static Backoff create(Duration base, Duration cap, RandomGenerator random) {
        checkArgument(!base.isNegative() && !base.isZero(), "base is not positive: %s", base);
        checkArgument(base.compareTo(cap) <= 0, "base %s is above cap %s", base, cap);
        return new Backoff(base.toNanos(), cap.toNanos(), random);
    }

    /** Returns the delay before the next try, and doubles the bound. */
    public Duration nextDelay() {
        Duration delay = Duration.ofNanos(random.nextLong(bound) + 1);
        bound = Math.min(cap, bound * 2);
        return delay;
    }

    /** Starts again from the base, after a success. */
    public void reset() {
        bound = base;
    }
}
