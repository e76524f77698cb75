package org.lavenderwick.core.balancing;

import java.time.Duration;

/**
 * A limit on the rate at which this daemon sends reads to other failure domains. It starts low and doubles while reads
 * keep leaving, so that the loss of a failure domain reaches the next one gradually. Not thread-safe.
 */
final class CrossDomainRamp {

    private static final double FIRST_RATE_PER_SECOND = 20;
    private static final double MAX_RATE_PER_SECOND = 5000;
    private static final Duration DOUBLING_TIME = Duration.ofMillis(250);

    /** Time without a departure after which the ramp starts anew, and a departure needs the full wait again. */
    private static final Duration RESET_AFTER = Duration.ofSeconds(1);

    private static final double MAX_TOKENS = 2;
    private static final double NANOS_PER_SECOND = 1e9;

    private double rate = FIRST_RATE_PER_SECOND;
    private double tokens = MAX_TOKENS;
    private Duration updatedAt = Duration.ZERO;
    private Duration doubledAt = Duration.ZERO;
    private Duration lastDepartureAt = Duration.ofDays(-1);

    /** Returns whether reads have left within the last second. */
    boolean isActive(Duration now) {
        return now.minus(lastDepartureAt).compareTo(RESET_AFTER) < 0;
    }

    /** Returns whether a read may leave now. */
    boolean mayDepart(Duration now) {
        if (!isActive(now)) {
            rate = FIRST_RATE_PER_SECOND;
            doubledAt = now;
        } else if (now.minus(doubledAt).compareTo(DOUBLING_TIME) >= 0) {
            rate = Math.min(MAX_RATE_PER_SECOND, rate * 2);
            doubledAt = now;
        }
        tokens = Math.min(MAX_TOKENS, tokens + rate * now.minus(updatedAt).toNanos() / NANOS_PER_SECOND);
        updatedAt = now;
        return tokens >= 1;
    }

    /** Records that a read has left. */
    void onDeparted(Duration now) {
        tokens--;
        lastDepartureAt = now;
    }
}
