package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.random.RandomGenerator;

import org.lavenderwick.core.time.Backoff;

/** The delay after a failed or rejected attempt to connect to an endpoint. Confined to the traffic thread. */
final class ConnectRetryDelay {

    private static final Duration MIN_BACKOFF = Duration.ofMillis(40);
    private static final Duration MAX_BACKOFF = Duration.ofMillis(400);

    /**
     * Delay before the next connection attempt after the endpoint rejected one, for example because it has no free
     * connection.
     */
    private static final Duration REJECTED_DELAY = Duration.ofMillis(250);

    /** Highest number of times that the delay is doubled while rejections repeat; the longest delay is 4 s. */
    private static final int MAX_DOUBLINGS = 4;

    private final Backoff backoff;
    private Duration nextAttemptAt = Duration.ZERO;
    private boolean failed;
    private int rejections;

    ConnectRetryDelay(Backoff backoff) {
        this.backoff = backoff;
    }

    /** Returns the backoff for connection attempts to one endpoint. */
    static Backoff newBackoff(RandomGenerator random) {
        return Backoff.create(MIN_BACKOFF, MAX_BACKOFF, random);
    }

    /** Returns whether an attempt may be made now. */
    boolean allowsAttempt(Duration now) {
        return now.compareTo(nextAttemptAt) >= 0;
    }

    /** Returns whether the latest attempt failed without a response of the endpoint. */
    boolean hasFailed() {
        return failed;
    }

    void onOpened() {
        backoff.reset();
        failed = false;
        rejections = 0;
    }

    void onFailed(Duration now) {
        nextAttemptAt = now.plus(backoff.nextDelay());
        failed = true;
    }

    /**
     * Called when the endpoint rejected an attempt.
     *
     * @param growing whether the delay grows while rejections repeat; attempts that were made at the same time count
     *     once
     */
    void onRejected(Duration now, boolean growing) {
        rejections += growing && allowsAttempt(now) ? 1 : 0;
        int doublings = Math.min(Math.max(0, rejections - 1), MAX_DOUBLINGS);
        nextAttemptAt = now.plus(REJECTED_DELAY.multipliedBy(1L << doublings));
    }
}
