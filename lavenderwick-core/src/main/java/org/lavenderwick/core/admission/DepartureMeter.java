package org.lavenderwick.core.admission;

import java.time.Duration;
import java.util.Optional;

/** A moving average of the interval between departures from a queue, measured only while the queue has a backlog. */
final class DepartureMeter {

    /** Weight of the newest interval; the average covers about the last 20 departures. */
    private static final double WEIGHT = 0.05;

    /** Number of measured departures before the average is reported. */
    private static final int MIN_SAMPLES = 10;

    /**
     * Upper bound of a measured interval, as a multiple of the current average. Longer intervals are mostly pauses, as
     * during a failover, which do not predict the rate afterwards. A lasting slowdown still shows after a few
     * departures.
     */
    private static final double MAX_GROWTH = 10;

    /** The upper bound of a measured interval is never below this number of nanoseconds (1 ms). */
    private static final double MIN_INTERVAL_CAP_NANOS = 1e6;

    /** Upper bound of the first measured interval in nanoseconds (250 ms), which has no average to compare with. */
    private static final double MAX_FIRST_INTERVAL_NANOS = 250e6;

    private int waiting;
    private boolean backlog;
    private Duration intervalStart = Duration.ZERO;
    private double meanNanos;
    private int samples;

    /** Records that an item joined the queue. */
    void recordArrival(Duration now) {
        if (waiting++ == 0) {
            intervalStart = now;
            backlog = false;
        } else {
            backlog = true;
        }
    }

    /** Records that an item left the queue to be served. */
    void recordDeparture(Duration now) {
        waiting--;
        double interval = now.minus(intervalStart).toNanos();
        intervalStart = now;
        if (!backlog) {
            // The item was alone in the queue and usually started at once, so the interval says nothing about the rate.
            return;
        }
        if (samples == 0) {
            meanNanos = Math.min(interval, MAX_FIRST_INTERVAL_NANOS);
        } else {
            double capped = Math.min(interval, Math.max(MAX_GROWTH * meanNanos, MIN_INTERVAL_CAP_NANOS));
            meanNanos += WEIGHT * (capped - meanNanos);
        }
        samples = Math.min(samples + 1, MIN_SAMPLES);
    }

    /** Records that an item left the queue without being served. */
    void recordRemoval() {
        waiting--;
    }

    /** Returns the number of items in the queue. */
    int waiting() {
        return waiting;
    }

    /** Returns the average interval in nanoseconds; empty until enough departures have been measured. */
    Optional<Double> meanNanos() {
        return samples < MIN_SAMPLES ? Optional.empty() : Optional.of(meanNanos);
    }
}
