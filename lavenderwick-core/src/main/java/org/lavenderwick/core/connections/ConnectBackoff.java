package org.lavenderwick.core.connections;

import java.time.Duration;
import java.util.random.RandomGenerator;

/** An exponential backoff with jitter between failed attempts to open a connection. */
final class ConnectBackoff {

    /** Upper bound of the delay after the first failure; a few times the 12 ms that opening a connection takes. */
    private static final Duration INITIAL_DELAY = Duration.ofMillis(50);

    /** Upper bound of every delay; well below the 9 s within which a change of the primary must complete. */
    private static final Duration MAX_DELAY = Duration.ofSeconds(2);

    /** Upper bound of the shift that doubles the delay, so that it cannot overflow. */
    private static final int MAX_DOUBLINGS = 10;

    private final RandomGenerator random;
    private int failures;
    private Duration retryAt = Duration.ZERO;

    ConnectBackoff(RandomGenerator random) {
        this.random = random;
    }

    /** Returns whether an attempt may be made now. */
    boolean allowsAttempt(Duration now) {
        return failures == 0 || now.compareTo(retryAt) >= 0;
    }

    /** Returns the time from which an attempt is allowed after the last failure. */
    Duration retryAt() {
        return retryAt;
    }

    void recordSuccess() {
        failures = 0;
    }

    /**
     * Delays the next attempt by a random time between half of an upper bound and the whole. The upper bound doubles
     * with each failure.
     */
    void recordFailure(Duration now) {
        long boundNanos = Math.min(MAX_DELAY.toNanos(), INITIAL_DELAY.toNanos() << Math.min(failures, MAX_DOUBLINGS));
        failures++;
        retryAt = now.plusNanos(boundNanos / 2 + random.nextLong(boundNanos / 2 + 1));
    }
}
