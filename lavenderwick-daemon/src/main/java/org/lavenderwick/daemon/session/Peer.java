package org.lavenderwick.daemon.session;

import java.net.InetSocketAddress;

import org.lavenderwick.core.model.FailureDomain;

/**
 * Another daemon.
 *
 * @param failureDomain the failure domain that it stands in
 * @param address where it takes the connections of other daemons
 */
public record Peer(FailureDomain failureDomain, InetSocketAddress address) {}
