package org.lavenderwick.core.time;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/** Bounds how often something is done, with bursts up to a capacity. Starts full. Thread-safe; takes constant time. */
public final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double capacity;
    private final double tokensPerSecond;
    private final MonotonicClock clock;
    private double tokens;
    private Duration refilled;

    private TokenBucket(int capacity, double tokensPerSecond, MonotonicClock clock) {
        this.capacity = capacity;
        this.tokensPerSecond = tokensPerSecond;
        this.clock = clock;
        this.tokens = capacity;
        this.refilled = clock.now();
    }

    /** Returns a full bucket of the given capacity that refills at the given rate. */
    public static TokenBucket of(int capacity, double tokensPerSecond, MonotonicClock clock) {
        checkArgument(capacity >= 1, "capacity is below 1: %s", capacity);
        checkArgument(tokensPerSecond > 0, "rate is not positive: %s", tokensPerSecond);
        return new TokenBucket(capacity, tokensPerSecond, clock);
    }

    /** Takes one token, or returns false if none is left. */
    public synchronized boolean tryAcquire() {
        Duration now = clock.now();
        double earned = now.minus(refilled).toNanos() * tokensPerSecond / NANOS_PER_SECOND;
        tokens = Math.min(capacity, tokens + earned);
        refilled = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
