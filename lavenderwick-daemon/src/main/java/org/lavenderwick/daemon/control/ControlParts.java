package org.lavenderwick.daemon.control;

import java.time.Duration;
import java.util.Collection;

import org.lavenderwick.core.configuration.ConfigurationHolder;
import org.lavenderwick.core.drain.Drain;
import org.lavenderwick.core.membership.SeatTableHolder;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.daemon.peer.PeerClient;

/**
 * What the control state works with.
 *
 * @param context what its parts share
 * @param failureDomain the failure domain of this daemon
 * @param peerAddress IP address and port of this daemon's peer service
 * @param seeds peer addresses to begin with
 * @param peers calls peers
 * @param exchangeTimeout how long an exchange with a peer may take
 * @param configuration the configuration in force
 * @param seats the seat table in force
 * @param drain counts the work in flight
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
