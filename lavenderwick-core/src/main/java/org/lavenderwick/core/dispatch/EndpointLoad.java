package org.lavenderwick.core.dispatch;

import org.lavenderwick.core.model.EndpointName;

/**
 * An endpoint as the choice sees it.
 *
 * @param name the endpoint
 * @param primary whether it is the proven primary
 * @param sameDomain whether it stands in the failure domain of this daemon
 * @param running statements of this daemon that run there
 * @param limit statements of this daemon that may run there, without regard to rank
 * @param suspect whether it has not answered for a while
 */
public record EndpointLoad(
        EndpointName name, boolean primary, boolean sameDomain, int inFlight, int limit, boolean unresponsive) {}
