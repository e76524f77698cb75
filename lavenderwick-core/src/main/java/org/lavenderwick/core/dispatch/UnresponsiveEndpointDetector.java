package org.lavenderwick.core.dispatch;

import java.time.Duration;

/**
 * A detector for an endpoint that no longer responds. The endpoint counts as unresponsive if requests are pending and
 * no response to any of them has arrived for longer than a timeout. Closing the connections with pending requests does
 * not reset the state; only a response does.
 *
 * <p>Not thread-safe.
 */
public final class UnresponsiveEndpointDetector {

    private final Duration timeout;

    /** Start of the current wait for a response; null if no request is pending. */
    private Duration waitingSince;

    private UnresponsiveEndpointDetector(Duration timeout) {
        this.timeout = timeout;
    }

    /** Creates a detector for an endpoint without pending requests. */
    public static UnresponsiveEndpointDetector create(Duration timeout) {
        return new UnresponsiveEndpointDetector(timeout);
    }

    /** Records that a request was sent to the endpoint. */
    public void onRequestSent(Duration now) {
        if (waitingSince == null) {
            waitingSince = now;
        }
    }

    /**
     * Records that a response arrived, and restarts the wait if further requests are pending.
     *
     * @param morePending whether other requests are still pending
     */
    public void onResponse(Duration now, boolean morePending) {
        waitingSince = morePending ? now : null;
    }

    /** Returns whether the wait for a response exceeds the timeout. */
    public boolean isUnresponsive(Duration now) {
        return waitingSince != null && now.minus(waitingSince).compareTo(timeout) > 0;
    }
}
