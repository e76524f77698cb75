package org.lavenderwick.daemon.entry;

import java.time.Duration;

/** Recorder of the outcome and latency of client requests. Thread-safe. */
@FunctionalInterface
public interface RequestMetrics {
    /**
     * Records a response to a client.
     *
     * @param rank rank of the request; empty if it has none or was rejected before its rank was known
     * @param outcome {@code DONE} or the name of the {@link org.lavenderwick.core.error.ErrorKind}
     * @param latency time since the request arrived
     */
    void answered(String rank, String outcome, Duration latency);
}
