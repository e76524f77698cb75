package org.lavenderwick.core.time;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/** Rate limiter that allows bursts up to a capacity. Starts full. Thread-safe; each call takes constant time. */
public final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double capacity;
    private final double tokensPerSecond;
    private final MonotonicClock clock;
    private double tokens;
    private Duration refilledAt;

    private TokenBucket(int capacity, double tokensPerSecond, MonotonicClock clock) {
        this.capacity = capacity;
        this.tokensPerSecond = tokensPerSecond;
        this.clock = clock;
        this.tokens = capacity;
        this.refilledAt = clock.now();
    }

    /** Returns a full bucket of the given capacity, in tokens, that refills at the given rate. */
    public static TokenBucket of(int capacity, double tokensPerSecond, MonotonicClock clock) {
        checkArgument(capacity >= 1, "capacity is below 1: %s", capacity);
        checkArgument(tokensPerSecond > 0, "refill rate is not positive: %s", tokensPerSecond);
        return new TokenBucket(capacity, tokensPerSecond, clock);
    }

    /** Takes one token and returns true, or returns false if less than one token is available. */
    public synchronized boolean tryAcquire() {
        Duration now = clock.now();
        double newTokens = now.minus(refilledAt).toNanos() * tokensPerSecond / NANOS_PER_SECOND;
        tokens = Math.min(capacity, tokens + newTokens);
        refilledAt = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
