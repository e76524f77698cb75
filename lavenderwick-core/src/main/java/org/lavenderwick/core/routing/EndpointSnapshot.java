package org.lavenderwick.core.routing;

import java.time.Duration;
import java.time.Instant;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.LogPoint;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * State of an endpoint, as known to an owner of its database group when it routes a read.
 *
 * @param name name of the endpoint
 * @param failureDomain failure domain of the endpoint
 * @param primary whether the endpoint is the primary of the latest known term
 * @param logPoint replication log position in the last response of the endpoint
 * @param pointTime wall-clock time of the primary at {@code logPoint}
 * @param observedAt wall-clock time at which the last response arrived
 * @param latency smoothed latency, including the network; zero before the first measurement
 * @param inFlight number of requests in flight
 * @param concurrencyLimit maximum number of requests in flight
 * @param leaving whether the endpoint's host is leaving or a planned stop affects the endpoint
 * @param reachable whether the endpoint responds
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

    /** Checks that the latency and the counts are not negative. */
    public EndpointSnapshot {
        checkArgument(!latency.isNegative(), "latency of endpoint %s is negative", name);
        checkArgument(inFlight >= 0, "number of requests in flight at endpoint %s is negative", name);
        checkArgument(concurrencyLimit >= 0, "concurrency limit of endpoint %s is negative", name);
    }

    /** Returns whether the endpoint accepts new requests, regardless of its current load. */
    public boolean isUsable() {
        return reachable && !leaving && concurrencyLimit > 0;
    }

    /** Returns whether the number of requests in flight is below the concurrency limit. */
    public boolean hasCapacity() {
        return inFlight < concurrencyLimit;
    }

    /** Returns the replication lag at the time of the last response; never negative. */
    public Duration lag() {
        return pointTime.isBefore(observedAt) ? Duration.between(pointTime, observedAt) : Duration.ZERO;
    }
}
