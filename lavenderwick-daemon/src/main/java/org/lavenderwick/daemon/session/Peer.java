package org.lavenderwick.daemon.session;

import java.net.InetSocketAddress;

import org.lavenderwick.core.model.FailureDomain;

/**
 * A daemon as other daemons reach it.
 *
 * @param failureDomain the failure domain in which it runs
 * @param address the address at which it accepts connections of other daemons
 */
public record Peer(FailureDomain failureDomain, InetSocketAddress address) {}
