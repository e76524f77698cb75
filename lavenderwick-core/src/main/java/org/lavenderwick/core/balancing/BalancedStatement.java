package org.lavenderwick.core.balancing;

import java.time.Duration;

/**
 * The properties of a statement on which its placement depends.
 *
 * @param rank index of the rank; 0 is the most urgent
 * @param needsPrimary whether only the primary may run it
 * @param mayRepeat whether the statement may be sent once more if an endpoint fails it
 * @param waited time since its arrival
 * @param latencyTarget target for the time from its arrival to its response
 */
public record BalancedStatement(
        int rank, boolean needsPrimary, boolean mayRepeat, Duration waited, Duration latencyTarget) {

    /** Returns whether the statement has waited for at least the given part of its latency target. */
    boolean hasWaited(double partOfTarget) {
        return waited.toNanos() >= partOfTarget * latencyTarget.toNanos();
    }
}
