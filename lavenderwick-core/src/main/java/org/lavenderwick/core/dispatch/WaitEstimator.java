package org.lavenderwick.core.dispatch;

import java.time.Duration;

/**
 * An estimator of the queue wait of a statement, based on the mean service time of its database. During overload the
 * estimate is used to reject statements on arrival that would miss their latency target, so that their clients can fall
 * back to an alternative at once.
 */
public final class WaitEstimator {

    /** Weight of the newest service time; the mean covers about the last 10 responses. */
    private static final double WEIGHT = 0.1;

    private double meanNanos;

    /** Records the time between sending a statement and receiving its response. */
    public void recordServiceTime(Duration serviceTime) {
        long nanos = serviceTime.toNanos();
        meanNanos = meanNanos == 0 ? nanos : meanNanos + WEIGHT * (nanos - meanNanos);
    }

    /** Returns the mean service time; zero before the first response. */
    public Duration meanServiceTime() {
        return Duration.ofNanos((long) meanNanos);
    }

    /**
     * Returns the expected wait of a new statement; zero before the first response.
     *
     * @param ahead number of queued statements that are served before it
     * @param parallel number of statements that run at the same time
     */
    public Duration expectedWait(int ahead, int parallel) {
        return Duration.ofNanos((long) (meanNanos * ahead / Math.max(1, parallel)));
    }
}
