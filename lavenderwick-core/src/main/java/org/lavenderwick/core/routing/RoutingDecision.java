package org.lavenderwick.core.routing;

import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;

/** The answer of a routing decision. */
public sealed interface RoutingDecision {

    /**
     * Run the read at this endpoint.
     *
     * @param endpoint the endpoint
     * @param confirmed whether its last answer shows that it is fresh enough; otherwise it is only likely, and the
     *     endpoint may refuse the read, which then goes elsewhere
     */
    record SendTo(EndpointName endpoint, boolean confirmed) implements RoutingDecision {}

    /** Endpoints could answer, but all of them are at their limit: the read stays in the queue. */
    record Wait() implements RoutingDecision {}

    /**
     * No endpoint can answer.
     *
     * @param failure why; the read did not run
     */
    record Reject(Failure failure) implements RoutingDecision {}
}
