package org.lavenderwick.core.dispatch;

import org.lavenderwick.core.model.EndpointName;

/**
 * The load and state of an endpoint as seen by one daemon; the input of {@link EndpointSelector}.
 *
 * @param name name of the endpoint
 * @param primary whether the endpoint is the confirmed primary
 * @param sameDomain whether the endpoint is in the failure domain of this daemon
 * @param inFlight number of statements that this daemon is running on the endpoint
 * @param limit number of statements that this daemon may run on the endpoint, before the adjustment for the rank
 * @param unresponsive whether the endpoint has left requests without a response for too long
 */
public record EndpointLoad(
        EndpointName name, boolean primary, boolean sameDomain, int inFlight, int limit, boolean unresponsive) {}
