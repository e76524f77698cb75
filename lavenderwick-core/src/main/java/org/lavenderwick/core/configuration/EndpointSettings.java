package org.lavenderwick.core.configuration;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The settings of an endpoint of a database group.
 *
 * @param name the name of the endpoint
 * @param failureDomain the failure domain in which the endpoint runs
 * @param address IP address and port, as in {@code 127.0.0.1:9000}
 * @param connectionLimit maximum number of connections that the endpoint accepts
 * @param slots number of statements that the endpoint can run concurrently at full speed
 */
public record EndpointSettings(
        EndpointName name, FailureDomain failureDomain, String address, int connectionLimit, int slots) {

    /** Validates the connection limit and the slots. */
    public EndpointSettings {
        checkArgument(connectionLimit >= 1, "connection limit of endpoint %s is below 1", name);
        checkArgument(slots >= 1, "number of slots of endpoint %s is below 1", name);
    }
}
