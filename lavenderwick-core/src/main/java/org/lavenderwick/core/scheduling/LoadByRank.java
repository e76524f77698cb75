package org.lavenderwick.core.scheduling;

import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;

/**
 * The slots that arriving operations of each rank need on average, in a window that is forgotten within seconds. It
 * predicts how much of the slots operations of more urgent ranks will take that have not arrived yet. Not thread-safe.
 */
final class LoadByRank {

    /** Time constant of the window. With 0.4 s, callers that all return at once counted
     * as a load that goes on, and were rejected. */
    private static final double WINDOW_SECONDS = 2;

    private final TreeMap<Integer, Double> work = new TreeMap<>();
    private Duration updatedAt = Duration.ZERO;

    void add(int rank, double seconds, Duration now) {
        decay(now);
        work.merge(rank, seconds, Double::sum);
    }

    /**
     * Returns the mean number of slots that arrivals of the ranks before the given one need.
     *
     * @param waiting slot time in seconds of the operations of these ranks that wait; they count as ahead already
     */
    double slotsBefore(int rank, double waiting, Duration now) {
        decay(now);
        double sum = 0;
        for (Map.Entry<Integer, Double> entry : work.headMap(rank).entrySet()) {
            sum += entry.getValue();
        }
        return Math.max(0, sum - waiting) / WINDOW_SECONDS;
    }

    private void decay(Duration now) {
        double factor = Math.exp(-Math.max(0, Seconds.of(now.minus(updatedAt))) / WINDOW_SECONDS);
        work.replaceAll((rank, seconds) -> seconds * factor);
        updatedAt = now;
    }
}
