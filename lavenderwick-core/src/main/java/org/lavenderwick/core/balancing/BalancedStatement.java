package org.lavenderwick.core.balancing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.lavenderwick.core.dispatch.EndpointLoad;

/**
 * The properties of a statement on which its placement depends.
 *
 * @param rank index of the rank; 0 is the most urgent
 * @param needsPrimary whether only the primary may run it
 * @param mayRepeat whether the statement may be sent once more if an endpoint fails it
 * @param waited time since its arrival
 * @param latencyTarget target for the time from its arrival to its response
 * @param selector selects among endpoints that are equally suitable
 */
public record BalancedStatement(
        int rank,
        boolean needsPrimary,
        boolean mayRepeat,
        Duration waited,
        Duration latencyTarget,
        LoadSelector selector) {

    Optional<EndpointLoad> select(List<EndpointLoad> eligible) {
        return selector.select(eligible, rank);
    }

    /** Returns whether the statement has waited for at least the given part of its latency target. */
    boolean hasWaited(double partOfTarget) {
        return waited.toNanos() >= partOfTarget * latencyTarget.toNanos();
    }
}
