package org.lavenderwick.core.admission;

import java.time.Duration;

/** How many statements may run on one endpoint at the same time. Confined to one thread. */
public interface ConcurrencyLimit {

    /** Returns the current limit, at least 1. */
    int limit();

    /**
     * Records an answer.
     *
     * @param latency time from sending the request to its answer
     * @param inFlight number of requests under this limit in flight when this one was sent, itself included
     */
    void recordResponse(Duration latency, int inFlight);

    /** Records a request without an answer in time. */
    void recordTimeout();

    /** Sets the highest limit, as when the connection share changes. */
    void setMaximum(int maximum);
}
