package org.lavenderwick.core.balancing;

import java.time.Duration;

/** A mean in which past samples lose weight exponentially. Not thread-safe. */
final class DecayingMean {

    private final DecayingSum total;
    private final DecayingSum weight;
    private double lastMean;

    private DecayingMean(Duration timeConstant) {
        total = DecayingSum.create(timeConstant);
        weight = DecayingSum.create(timeConstant);
    }

    /** Returns a mean without samples. */
    static DecayingMean create(Duration timeConstant) {
        return new DecayingMean(timeConstant);
    }

    void add(double sample, Duration now) {
        total.add(sample, now);
        weight.add(1, now);
        lastMean = total.value(now) / weight.value(now);
    }

    /** Returns the mean, which stays as it is while no samples are added; 0 before the first one. */
    double mean() {
        return lastMean;
    }

    /** Returns the number of samples, where past samples count less. */
    double weight(Duration now) {
        return weight.value(now);
    }

    /** Replaces the samples by one sample. */
    void restart(double sample, Duration now) {
        reset();
        add(sample, now);
    }

    void reset() {
        total.reset();
        weight.reset();
        lastMean = 0;
    }
}
