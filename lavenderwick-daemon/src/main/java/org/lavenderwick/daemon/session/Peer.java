package org.lavenderwick.daemon.session;

import java.net.InetSocketAddress;

import org.lavenderwick.core.model.FailureDomain;

/**
 * A daemon as other daemons reach it.
 *
 * @param failureDomain the failure domain in which it runs
 * @param address the address at which it accepts connections of other daemons
 */
public record Peer(FailureDomain failureDomain, InetSocketAddress address) {

    // Written out for the reason given at GroupName.
    @Override
    public boolean equals(Object other) {
        return other instanceof Peer that && that.failureDomain.equals(failureDomain) && that.address.equals(address);
    }

    @Override
    public int hashCode() {
        return 31 * failureDomain.hashCode() + address.hashCode();
    }
}
