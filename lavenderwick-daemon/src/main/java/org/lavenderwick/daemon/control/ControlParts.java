package org.lavenderwick.daemon.control;

import java.time.Duration;
import java.util.Collection;

import org.lavenderwick.core.configuration.ConfigurationHolder;
import org.lavenderwick.core.drain.Drain;
import org.lavenderwick.core.membership.SeatTableHolder;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.daemon.peer.PeerClient;

/**
 * Dependencies and settings of a {@link ControlPlane}.
 *
 * @param context dependencies shared by the components of the control plane
 * @param failureDomain the failure domain of this daemon
 * @param peerAddress IP address and port of this daemon's peer service
 * @param seeds configured peer addresses, contacted in addition to the addresses in the seat table
 * @param peers client for calls to peers
 * @param exchangeTimeout timeout of an exchange with a peer
 * @param configuration holder of the current configuration
 * @param seats holder of the current seat table
 * @param drain drain state, with the count of requests in flight
 */
public record ControlParts(
        ControlContext context,
        FailureDomain failureDomain,
        String peerAddress,
        Collection<String> seeds,
        PeerClient peers,
        Duration exchangeTimeout,
        ConfigurationHolder configuration,
        SeatTableHolder seats,
        Drain drain) {}
