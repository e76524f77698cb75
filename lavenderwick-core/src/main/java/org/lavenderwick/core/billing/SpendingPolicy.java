package org.lavenderwick.core.billing;

import java.time.Instant;

/**
 * Policy that decides whether the usage of a database group may exceed the paid level. Each owned group has its own
 * instance, which is confined to one thread.
 */
public interface SpendingPolicy {

    /**
     * Returns whether a connection may be opened for waiting work. If the result is true, the caller must open one.
     *
     * @param paid the paid level
     * @param current usage of the current minute so far
     * @param open number of connections that are open or being opened
     * @param work the waiting work
     * @param now wall-clock time
     */
    boolean mayOpenConnection(PaidLevel paid, MinuteUsage current, int open, WorkEstimate work, Instant now);

    /**
     * Returns whether work may start in the current minute; otherwise it should wait for a later one. Does not record
     * the work as started, see {@link #recordStarted}.
     *
     * @param paid the paid level
     * @param current usage of the current minute so far
     * @param work the work
     * @param now wall-clock time
     */
    boolean mayStart(PaidLevel paid, MinuteUsage current, WorkEstimate work, Instant now);

    /** Records that work has started. */
    void recordStarted(WorkEstimate work, Instant now);
}
