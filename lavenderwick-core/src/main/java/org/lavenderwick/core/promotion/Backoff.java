package org.lavenderwick.core.promotion;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Exponential backoff with full jitter: each delay is uniform below a bound that doubles up to a cap. */
final class Backoff {

    private final long base;
    private final long cap;
    private final RandomGenerator random;
    private long bound;

    Backoff(PromotionTimings timings, RandomGenerator random) {
        this.base = timings.retryBase().toNanos();
        this.cap = timings.retryCap().toNanos();
        this.random = random;
        this.bound = base;
    }

    Duration nextDelay() {
        Duration delay = Duration.ofNanos(random.nextLong(bound) + 1);
        bound = Math.min(cap, bound * 2);
        return delay;
    }

    void reset() {
        bound = base;
    }
}
