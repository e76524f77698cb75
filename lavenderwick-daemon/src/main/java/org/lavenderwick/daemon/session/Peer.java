package org.lavenderwick.daemon.session;

import java.net.InetSocketAddress;

import org.lavenderwick.core.model.FailureDomain;

/**
 * Another daemon.
 *
 * @param domain the failure domain that it stands in
 * @param address where it takes sessions that other daemons relay
 */
public record Peer(FailureDomain domain, InetSocketAddress address) {}
