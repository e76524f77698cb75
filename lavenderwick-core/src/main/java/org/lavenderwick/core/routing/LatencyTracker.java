package org.lavenderwick.core.routing;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Smoothed latency of an endpoint that rises fast and falls slowly, so that an endpoint which becomes slow is avoided
 * after a few answers and trusted again only after a while. Confined to one thread.
 */
public final class LatencyTracker {

    /** Weight of an answer slower than the smoothed latency; one outlier alone counts half. */
    private static final double RISE_WEIGHT = 0.5;

    private final double decayNanos;
    private double nanos;
    private Duration updated = Duration.ZERO;
    private boolean measured;

    private LatencyTracker(Duration decay) {
        this.decayNanos = decay.toNanos();
    }

    /** Returns a tracker in which a faster answer after the given time without answers counts about two thirds. */
    public static LatencyTracker create(Duration decay) {
        checkArgument(!decay.isNegative() && !decay.isZero(), "decay time is not positive: %s", decay);
        return new LatencyTracker(decay);
    }

    /** Records the latency of an answer, or the time waited for one that did not come. */
    public void record(Duration latency, Duration now) {
        double sample = latency.toNanos();
        if (!measured) {
            measured = true;
            nanos = sample;
        } else if (sample > nanos) {
            nanos += RISE_WEIGHT * (sample - nanos);
        } else {
            double elapsed = Math.max(0, now.minus(updated).toNanos());
            nanos += (1 - Math.exp(-elapsed / decayNanos)) * (sample - nanos);
        }
        updated = now;
    }

    /** Returns the smoothed latency; zero before the first answer. */
    public Duration value() {
        return Duration.ofNanos((long) nanos);
    }
}
