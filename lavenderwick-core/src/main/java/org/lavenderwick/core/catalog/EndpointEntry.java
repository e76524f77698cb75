package org.lavenderwick.core.catalog;

import java.net.InetSocketAddress;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;

/**
 * The entry of an endpoint in the directory, as written by the endpoint itself.
 *
 * @param name the unique name of the endpoint; an address may later be reused by another endpoint
 * @param group the database group that the endpoint belongs to
 * @param address the address on which it accepts connections
 * @param failureDomain the failure domain in which it is located
 * @param slots maximum number of statements that it executes concurrently
 * @param draining whether it is about to be removed from the group
 * @param role the role that it reports for itself
 */
public record EndpointEntry(
        EndpointName name,
        GroupName group,
        InetSocketAddress address,
        FailureDomain failureDomain,
        int slots,
        boolean draining,
        EndpointRole role) {

    // Written out for the reason given at GroupName.
    @Override
    public boolean equals(Object other) {
        return other instanceof EndpointEntry that
                && that.name.equals(name)
                && that.group.equals(group)
                && that.address.equals(address)
                && that.failureDomain.equals(failureDomain)
                && that.slots == slots
                && that.draining == draining
                && that.role.equals(role);
    }

    @Override
    public int hashCode() {
        return 31 * name.hashCode() + group.hashCode();
    }
}
