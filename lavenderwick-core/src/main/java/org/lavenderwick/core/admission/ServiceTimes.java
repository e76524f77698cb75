package org.lavenderwick.core.admission;

import java.time.Duration;

/** Smoothed service time with its deviation, as TCP estimates round trips. */
final class ServiceTimes {

    private static final double MEAN_WEIGHT = 0.125;

    private static final double DEVIATION_WEIGHT = 0.25;

    /** Two mean deviations above the mean cover most answers. */
    private static final double DEVIATIONS = 2;

    private double meanNanos;
    private double deviationNanos;
    private boolean measured;

    void add(Duration serviceTime) {
        double sample = Math.max(0, serviceTime.toNanos());
        if (!measured) {
            measured = true;
            meanNanos = sample;
            deviationNanos = sample / 2;
            return;
        }
        double error = sample - meanNanos;
        meanNanos += MEAN_WEIGHT * error;
        deviationNanos += DEVIATION_WEIGHT * (Math.abs(error) - deviationNanos);
    }

    /** Returns the time within which most work is answered; zero before the first answer. */
    Duration estimate() {
        return Duration.ofNanos((long) (meanNanos + DEVIATIONS * deviationNanos));
    }
}
