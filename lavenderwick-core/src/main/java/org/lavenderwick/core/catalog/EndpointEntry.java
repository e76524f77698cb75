package org.lavenderwick.core.catalog;

import java.net.InetSocketAddress;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;

/**
 * An endpoint as it describes itself in the directory.
 *
 * @param name the identity of the endpoint; an address may be used again by another one
 * @param group the database group it belongs to
 * @param address where it accepts connections
 * @param failureDomain the failure domain it stands in
 * @param slots statements it runs at the same time
 * @param draining whether it is about to leave
 * @param role the role in its own view
 */
public record EndpointEntry(
        EndpointName name,
        GroupName group,
        InetSocketAddress address,
        FailureDomain failureDomain,
        int slots,
        boolean draining,
        EndpointRole role) {}
