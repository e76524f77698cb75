package org.lavenderwick.adapters.platform;

import java.time.Duration;

import org.lavenderwick.core.time.MonotonicClock;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Token bucket that bounds the calls of one daemon to the platform. It starts full. Thread-safe; each call is constant
 * time.
 */
public final class CallBudget {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double capacity;
    private final double callsPerSecond;
    private final MonotonicClock clock;
    private double tokens;
    private Duration refilled;

    private CallBudget(int capacity, double callsPerSecond, MonotonicClock clock) {
        this.capacity = capacity;
        this.callsPerSecond = callsPerSecond;
        this.clock = clock;
        this.tokens = capacity;
        this.refilled = clock.now();
    }

    /** Returns a full budget of the given capacity that refills at the given rate. */
    public static CallBudget of(int capacity, double callsPerSecond, MonotonicClock clock) {
        checkArgument(capacity >= 1, "capacity is below 1: %s", capacity);
        checkArgument(callsPerSecond > 0, "rate is not positive: %s", callsPerSecond);
        return new CallBudget(capacity, callsPerSecond, clock);
    }

    /** Takes one call from the budget, or returns false if none is left. */
    public synchronized boolean tryAcquire() {
        Duration now = clock.now();
        double earned = now.minus(refilled).toNanos() * callsPerSecond / NANOS_PER_SECOND;
        tokens = Math.min(capacity, tokens + earned);
        refilled = now;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
