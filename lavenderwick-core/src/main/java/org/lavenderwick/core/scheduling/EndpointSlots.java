package org.lavenderwick.core.scheduling;

import org.lavenderwick.core.model.EndpointName;

/**
 * The slots of one endpoint that this scheduler may use.
 *
 * @param name name of the endpoint
 * @param primary whether it is the primary
 * @param slots number of operations that may run on it at the same time
 */
public record EndpointSlots(EndpointName name, boolean primary, int slots) {}
