package org.lavenderwick.core.routing;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Moving average of an endpoint's latency that rises quickly and falls slowly: a few slow responses are enough to avoid
 * an endpoint, and it takes longer to use it fully again. Confined to one thread.
 */
public final class LatencyTracker {

    /** Weight of a sample above the current average, so a single outlier raises the average by half the difference. */
    private static final double RISE_WEIGHT = 0.5;

    private final double decayNanos;
    private double averageNanos;
    private Duration updatedAt = Duration.ZERO;
    private boolean hasSamples;

    private LatencyTracker(Duration decay) {
        this.decayNanos = decay.toNanos();
    }

    /**
     * Returns a tracker without samples. A sample below the average is weighted by the time since the previous sample:
     * about 63 % after {@code decay}, and more after longer gaps.
     */
    public static LatencyTracker create(Duration decay) {
        checkArgument(!decay.isNegative() && !decay.isZero(), "decay is not positive: %s", decay);
        return new LatencyTracker(decay);
    }

    /**
     * Records a sample.
     *
     * @param latency latency of a response, or the time waited before a request timed out
     * @param now monotonic time of the sample
     */
    public void record(Duration latency, Duration now) {
        double sample = latency.toNanos();
        if (!hasSamples) {
            hasSamples = true;
            averageNanos = sample;
        } else if (sample > averageNanos) {
            averageNanos += RISE_WEIGHT * (sample - averageNanos);
        } else {
            double elapsed = Math.max(0, now.minus(updatedAt).toNanos());
            averageNanos += (1 - Math.exp(-elapsed / decayNanos)) * (sample - averageNanos);
        }
        updatedAt = now;
    }

    /** Returns the smoothed latency; zero before the first sample. */
    public Duration value() {
        return Duration.ofNanos((long) averageNanos);
    }
}
