package org.lavenderwick.core.admission;

import java.time.Duration;

/**
 * A limit on the number of statements that may run on one endpoint at the same time.
 *
 * <p>Not thread-safe.
 */
public interface ConcurrencyLimit {

    /** Returns the current limit, at least 1. */
    int limit();

    /**
     * Records the response to a request.
     *
     * @param latency time between sending the request and receiving the response
     * @param inFlight number of requests in flight under this limit when the request was sent, including itself
     */
    void recordResponse(Duration latency, int inFlight);

    /** Records that a request timed out without a response. */
    void recordTimeout();

    /** Sets the upper bound of the limit. Called when the share of connections changes; values below 1 count as 1. */
    void setMaximum(int maximum);
}
