package org.lavenderwick.core.balancing;

import java.time.Duration;

/** A sum whose past contributions decay exponentially. Not thread-safe. */
final class DecayingSum {

    private final double timeConstantNanos;
    private double sum;
    private Duration updatedAt = Duration.ZERO;

    private DecayingSum(Duration timeConstant) {
        this.timeConstantNanos = timeConstant.toNanos();
    }

    /** Returns an empty sum whose contributions decay to 1/e within the given time. */
    static DecayingSum create(Duration timeConstant) {
        return new DecayingSum(timeConstant);
    }

    void add(double amount, Duration now) {
        sum = value(now) + amount;
        updatedAt = now;
    }

    double value(Duration now) {
        long elapsed = now.minus(updatedAt).toNanos();
        return sum == 0 || elapsed <= 0 ? sum : sum * Math.exp(-elapsed / timeConstantNanos);
    }

    void reset() {
        sum = 0;
    }
}
