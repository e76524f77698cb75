package org.lavenderwick.core.routing;

import java.time.Duration;
import java.time.Instant;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.LogPoint;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What the owner knows about one endpoint when it routes a read.
 *
 * @param name the name of the endpoint
 * @param failureDomain the failure domain in which it stands
 * @param primary whether it is the primary of the newest known term
 * @param logPoint the log point of its last answer
 * @param pointTime the primary's wall time at that point
 * @param observedAt wall time of the last answer
 * @param latency smoothed latency, network included
 * @param inFlight number of requests in flight
 * @param concurrencyLimit highest number of requests in flight
 * @param leaving whether its host leaves or a planned stop covers it
 * @param reachable whether it answers
 */
public record EndpointSnapshot(
        EndpointName name,
        FailureDomain failureDomain,
        boolean primary,
        LogPoint logPoint,
        Instant pointTime,
        Instant observedAt,
        Duration latency,
        int inFlight,
        int concurrencyLimit,
        boolean leaving,
        boolean reachable) {

    /** Checks the ranges. */
    public EndpointSnapshot {
        checkArgument(!latency.isNegative(), "latency of endpoint %s is negative", name);
        checkArgument(inFlight >= 0, "outstanding work of endpoint %s is negative", name);
        checkArgument(concurrencyLimit >= 0, "limit of endpoint %s is negative", name);
    }

    /** Returns whether the endpoint may get new work at all. */
    public boolean isUsable() {
        return reachable && !leaving && concurrencyLimit > 0;
    }

    /** Returns whether another request fits below the limit. */
    public boolean hasCapacity() {
        return inFlight < concurrencyLimit;
    }

    /** Returns how far the endpoint was behind the primary when it last answered; never negative. */
    public Duration lag() {
        return pointTime.isBefore(observedAt) ? Duration.between(pointTime, observedAt) : Duration.ZERO;
    }
}
