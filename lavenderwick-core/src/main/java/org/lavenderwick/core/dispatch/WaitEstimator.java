package org.lavenderwick.core.dispatch;

import java.time.Duration;

/**
 * Estimates how long a statement would wait in the queue, from the service times of its database. Answers a flood:
 * work that would be answered only after its latency target is refused on arrival, so its caller can turn elsewhere.
 */
public final class WaitEstimator {

    /** Weight of the newest service time in the mean; reacts within some ten answers. */
    private static final double WEIGHT = 0.1;

    private double meanNanos;

    /** Records the time from sending a statement to its answer. */
    public void recordServiceTime(Duration serviceTime) {
        long nanos = serviceTime.toNanos();
        meanNanos = meanNanos == 0 ? nanos : meanNanos + WEIGHT * (nanos - meanNanos);
    }

    /** Returns the mean service time; zero while none is known. */
    public Duration meanServiceTime() {
        return Duration.ofNanos((long) meanNanos);
    }

    /**
     * Returns the expected wait.
     *
     * @param ahead statements that go first
     * @param parallel statements that run at the same time
     */
    public Duration expectedWait(int ahead, int parallel) {
        return Duration.ofNanos((long) (meanNanos * ahead / Math.max(1, parallel)));
    }
}
