package org.lavenderwick.core.configuration;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * One endpoint of a database group.
 *
 * @param name the name of the endpoint
 * @param failureDomain the failure domain in which it stands
 * @param address IP address and port, as in {@code 127.0.0.1:9000}
 * @param connectionLimit number of connections the endpoint accepts in total
 * @param slots number of statements the endpoint runs at full speed at the same time
 */
public record EndpointSettings(
        EndpointName name, FailureDomain failureDomain, String address, int connectionLimit, int slots) {

    /** Checks the ranges. */
    public EndpointSettings {
        checkArgument(connectionLimit >= 1, "connection limit of endpoint %s is below 1", name);
        checkArgument(slots >= 1, "slots of endpoint %s are below 1", name);
    }
}
