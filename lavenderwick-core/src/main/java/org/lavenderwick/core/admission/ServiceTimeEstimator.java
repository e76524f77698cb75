package org.lavenderwick.core.admission;

import java.time.Duration;

/**
 * An upper estimate of the service time: the smoothed mean plus a multiple of the smoothed mean deviation, like the
 * retransmission timeout of TCP (RFC 6298).
 */
final class ServiceTimeEstimator {

    private static final double MEAN_WEIGHT = 0.125;

    private static final double DEVIATION_WEIGHT = 0.25;

    /** Number of mean deviations added to the mean; two cover most responses. */
    private static final double DEVIATIONS = 2;

    private double meanNanos;
    private double deviationNanos;
    private boolean hasSample;

    void record(Duration serviceTime) {
        double sample = Math.max(0, serviceTime.toNanos());
        if (!hasSample) {
            hasSample = true;
            meanNanos = sample;
            deviationNanos = sample / 2;
            return;
        }
        double error = sample - meanNanos;
        meanNanos += MEAN_WEIGHT * error;
        deviationNanos += DEVIATION_WEIGHT * (Math.abs(error) - deviationNanos);
    }

    /** Returns the time within which most items are expected to complete; zero before the first sample. */
    Duration estimate() {
        return Duration.ofNanos((long) (meanNanos + DEVIATIONS * deviationNanos));
    }
}
