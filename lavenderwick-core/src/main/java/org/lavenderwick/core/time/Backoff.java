package org.lavenderwick.core.time;

import java.time.Duration;
import java.util.random.RandomGenerator;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Exponential backoff with full jitter. Each delay is uniformly distributed up to a limit, which doubles after each
 * delay until it reaches a cap, so that callers that failed at the same time do not retry at the same time. Confined to
 * one thread.
 */
public final class Backoff {

    private final long baseNanos;
    private final long capNanos;
    private final RandomGenerator random;
    private long limitNanos;

    private Backoff(long baseNanos, long capNanos, RandomGenerator random) {
        this.baseNanos = baseNanos;
        this.capNanos = capNanos;
        this.random = random;
        this.limitNanos = baseNanos;
    }

    /** Returns a backoff whose first delay is at most {@code base}, and whose later delays are at most {@code cap}. */
    public static Backoff create(Duration base, Duration cap, RandomGenerator random) {
        checkArgument(!base.isNegative() && !base.isZero(), "base delay is not positive: %s", base);
        checkArgument(base.compareTo(cap) <= 0, "base delay %s exceeds cap %s", base, cap);
        return new Backoff(base.toNanos(), cap.toNanos(), random);
    }

    /** Returns the delay before the next attempt, and doubles the limit up to the cap. */
    public Duration nextDelay() {
        Duration delay = Duration.ofNanos(random.nextLong(limitNanos) + 1);
        limitNanos = Math.min(capNanos, limitNanos * 2);
        return delay;
    }

    /** Resets the limit to the base delay. Should be called after a successful attempt. */
    public void reset() {
        limitNanos = baseNanos;
    }
}
