package org.lavenderwick.daemon.entry;

import java.time.Duration;

/** Counts the requests of callers. Thread-safe. */
@FunctionalInterface
public interface RequestMetrics {
    /**
     * Records an answer.
     *
     * @param rank rank of the work, empty if it has none or was refused before it was known
     * @param outcome {@code DONE} or the name of the error kind
     * @param latency time from the arrival of the request
     */
    void answered(String rank, String outcome, Duration latency);
}
