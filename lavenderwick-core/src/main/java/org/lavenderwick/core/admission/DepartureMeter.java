package org.lavenderwick.core.admission;

import java.time.Duration;
import java.util.Optional;

/** Measures the mean interval between departures from a queue while work waits in it. */
final class DepartureMeter {

    /** Weight of one departure: the mean covers about the last 20. */
    private static final double WEIGHT = 0.05;

    /** Departures before the mean is used. */
    private static final int MIN_SAMPLES = 10;

    /**
     * An interval counts as at most this multiple of the mean. A longer one is mostly a pause, as during a failover,
     * and says little about the pace afterwards; a lasting change of pace still shows after a few departures.
     */
    private static final double MAX_GROWTH = 10;

    private static final double MIN_CAP_NANOS = 1e6;

    /** Highest first interval, for the same reason. */
    private static final double MAX_FIRST_NANOS = 250e6;

    private int waiting;
    private boolean backlog;
    private Duration busySince = Duration.ZERO;
    private double meanNanos;
    private int samples;

    void arrived(Duration now) {
        if (waiting++ == 0) {
            busySince = now;
            backlog = false;
        } else {
            backlog = true;
        }
    }

    void departed(Duration now) {
        waiting--;
        double interval = now.minus(busySince).toNanos();
        busySince = now;
        if (!backlog) {
            // An item that was alone in the queue mostly met a free place, which says nothing about the pace.
            return;
        }
        if (samples == 0) {
            meanNanos = Math.min(interval, MAX_FIRST_NANOS);
        } else {
            double capped = Math.min(interval, Math.max(MAX_GROWTH * meanNanos, MIN_CAP_NANOS));
            meanNanos += WEIGHT * (capped - meanNanos);
        }
        samples = Math.min(samples + 1, MIN_SAMPLES);
    }

    /** Records an item that left without being served. */
    void abandoned() {
        waiting--;
    }

    int waiting() {
        return waiting;
    }

    /** Returns the mean interval in nanoseconds, if enough departures were seen. */
    Optional<Double> meanNanos() {
        return samples < MIN_SAMPLES ? Optional.empty() : Optional.of(meanNanos);
    }
}
