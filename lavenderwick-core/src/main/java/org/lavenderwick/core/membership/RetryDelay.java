package org.lavenderwick.core.membership;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Exponential backoff with full jitter, so that an outage of the platform is not followed by a stampede. */
final class RetryDelay {

    private static final Duration BASE = Duration.ofMillis(200);
    private static final Duration CAP = Duration.ofSeconds(10);
    private static final int MAX_DOUBLINGS = 6;

    private final RandomGenerator random;
    private int failures;

    RetryDelay(RandomGenerator random) {
        this.random = random;
    }

    /** Counts a failure and returns how long to wait before the next attempt. */
    Duration next() {
        long bound = Math.min(CAP.toMillis(), BASE.toMillis() << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        return Duration.ofMillis(1 + random.nextLong(bound));
    }

    /** Counts a success. */
    void reset() {
        failures = 0;
    }
}
