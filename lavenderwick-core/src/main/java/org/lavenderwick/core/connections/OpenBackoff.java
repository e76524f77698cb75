package org.lavenderwick.core.connections;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** Exponential backoff with jitter between attempts to open a connection. */
final class OpenBackoff {

    /** Delay after the first failure: a few times the 12 ms that an open takes. */
    private static final Duration BASE = Duration.ofMillis(50);

    /** Longest delay, well below the 9 s within which a primary change must be complete. */
    private static final Duration CAP = Duration.ofSeconds(2);

    private static final int MAX_DOUBLINGS = 10;

    private final RandomGenerator random;
    private int failures;
    private Duration retryAt = Duration.ZERO;

    OpenBackoff(RandomGenerator random) {
        this.random = random;
    }

    boolean allows(Duration now) {
        return failures == 0 || now.compareTo(retryAt) >= 0;
    }

    Duration retryAt() {
        return retryAt;
    }

    void succeeded() {
        failures = 0;
    }

    /** Delays the next attempt by half of the current delay plus a random part of the other half. */
    void failed(Duration now) {
        long full = Math.min(CAP.toNanos(), BASE.toNanos() << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        retryAt = now.plusNanos(full / 2 + random.nextLong(full / 2 + 1));
    }
}
