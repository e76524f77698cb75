package org.lavenderwick.core.routing;

import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;

/** Result of routing a read. */
public sealed interface RoutingDecision {

    /**
     * Sends the read to an endpoint.
     *
     * @param endpoint name of the endpoint
     * @param confirmed whether the endpoint's last response shows that it is fresh enough. If not, the endpoint may
     *     reject the read as stale, and the read is then routed to another endpoint
     */
    record SendTo(EndpointName endpoint, boolean confirmed) implements RoutingDecision {}

    /** Keeps the read queued, because every eligible endpoint is at its concurrency limit. */
    record Wait() implements RoutingDecision {}

    /**
     * Rejects the read, because no endpoint can serve it.
     *
     * @param failure reason for the rejection; its kind implies that the read was not executed
     */
    record Reject(Failure failure) implements RoutingDecision {}
}
