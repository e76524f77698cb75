package org.lavenderwick.core.billing;

import java.time.Instant;

/** Decides whether usage may rise. One instance per owned database group, confined to one thread. */
public interface SpendingPolicy {

    /**
     * Returns whether a connection may be opened for waiting work. The caller opens one if the answer is yes.
     *
     * @param paid the level already paid for
     * @param current usage of the running minute so far
     * @param open number of connections open or opening
     * @param demand the waiting work
     * @param now wall time
     */
    boolean mayOpenConnection(PaidLevel paid, MinuteUsage current, int open, WorkEstimate demand, Instant now);

    /**
     * Returns whether work may start in the running minute, or should wait for a later one. Does not count the work:
     * {@link #recordStarted} does.
     *
     * @param paid the level already paid for
     * @param current usage of the running minute so far
     * @param demand the work
     * @param now wall time
     */
    boolean mayStart(PaidLevel paid, MinuteUsage current, WorkEstimate demand, Instant now);

    /** Records that work started. */
    void recordStarted(WorkEstimate demand, Instant now);
}
