package org.lavenderwick.adapters.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.lavenderwick.core.account.RateLimitBounds;
import org.lavenderwick.core.balancing.BalancingSettings;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;

/**
 * Settings of a daemon that serves the session interface.
 *
 * @param daemon the name of the daemon, unique in the fleet
 * @param failureDomain the failure domain that the host stands in
 * @param callerAddress where sessions are accepted
 * @param readinessAddress where questions for readiness are answered
 * @param peerAddress where the connections of other daemons are accepted
 * @param seeds peer addresses of a few daemons, which may be out of date
 * @param storeAddress where the store is
 * @param promotionAddress where promotions are ordered
 * @param changeBound time in which a change of the configuration must be in force
 * @param stopTime time between the request to stop and the forced end of the process
 * @param rateLimits how exactly the rate limits of client accounts are kept; empty if they are not limited
 * @param balancing how statements are spread over the endpoints of a group
 */
public record SessionSettings(
        DaemonName daemon,
        FailureDomain failureDomain,
        InetSocketAddress callerAddress,
        InetSocketAddress readinessAddress,
        InetSocketAddress peerAddress,
        List<InetSocketAddress> seeds,
        InetSocketAddress storeAddress,
        InetSocketAddress promotionAddress,
        Duration changeBound,
        Duration stopTime,
        Optional<RateLimitBounds> rateLimits,
        BalancingSettings balancing) {

    /** Copies the list. */
    public SessionSettings {
        seeds = ImmutableList.copyOf(seeds);
    }
}
