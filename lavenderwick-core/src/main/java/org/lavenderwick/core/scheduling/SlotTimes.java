package org.lavenderwick.core.scheduling;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** The mean slot time of each database, measured from responses. Not thread-safe. */
final class SlotTimes {

    /** Weight of the newest slot time; the mean covers about the last 10 responses. */
    private static final double WEIGHT = 0.1;

    /** Mean of a database without a response, and the shortest mean, so that values per slot time stay finite. */
    private static final double MIN_SECONDS = 0.0005;

    /** Deviations that are added to the mean where an operation should rarely take longer. */
    private static final int DEVIATIONS = 2;

    private final Map<String, Double> means = new HashMap<>();
    private final Map<String, Double> deviations = new HashMap<>();

    void record(String database, Duration slotTime) {
        double seconds = Seconds.of(slotTime);
        double deviation = Math.abs(seconds - means.getOrDefault(database, seconds));
        deviations.merge(database, deviation, (mean, newest) -> mean + WEIGHT * (newest - mean));
        means.merge(database, seconds, (mean, newest) -> mean + WEIGHT * (newest - mean));
    }

    /** Returns a slot time in seconds that few operations exceed. */
    double high(String database) {
        return mean(database) + DEVIATIONS * deviations.getOrDefault(database, 0.0);
    }

    /** Returns the mean in seconds. */
    double mean(String database) {
        return Math.max(MIN_SECONDS, means.getOrDefault(database, MIN_SECONDS));
    }
}
