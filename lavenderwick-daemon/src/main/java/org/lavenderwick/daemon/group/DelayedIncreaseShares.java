package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.connections.DelayedIncreaseShare;
import org.lavenderwick.core.model.EndpointName;

/**
 * Connection shares of an owner by endpoint. An increase takes effect after a delay, because until then other owners
 * may still use the shares of an older seat table. Shares are keyed by endpoint name, so that a change of other
 * settings of an endpoint starts no delay. Confined to the event loop of the group.
 */
final class DelayedIncreaseShares {
    private final Duration increaseDelay;
    private final Map<EndpointName, DelayedIncreaseShare> shares = new HashMap<>();

    DelayedIncreaseShares(Duration raiseWait) {
        this.increaseDelay = raiseWait;
    }

    /**
     * Updates the share of an endpoint from the placement and returns the number of connections that may be used now.
     *
     * @param placement placement by the newest seat table
     * @param endpoint settings of the endpoint
     * @param now monotonic time
     */
    int updateShare(GroupPlacement placement, EndpointSettings endpoint, Duration now) {
        DelayedIncreaseShare share =
                shares.computeIfAbsent(endpoint.name(), name -> DelayedIncreaseShare.create(increaseDelay));
        share.update(placement.connectionShare(endpoint), now);
        return share.current(now);
    }
}
