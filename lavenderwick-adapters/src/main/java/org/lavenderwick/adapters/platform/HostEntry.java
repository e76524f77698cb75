package org.lavenderwick.adapters.platform;

import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;

/**
 * One entry of the platform's lagging list of hosts.
 *
 * @param daemon the daemon on the host
 * @param failureDomain where the host stands
 * @param peerAddress IP address and port of the daemon's peer service
 * @param leaving whether the host is about to go
 */
public record HostEntry(DaemonName daemon, FailureDomain failureDomain, String peerAddress, boolean leaving) {}
