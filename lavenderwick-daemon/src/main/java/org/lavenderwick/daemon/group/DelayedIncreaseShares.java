package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.connections.DelayedIncreaseShare;
import org.lavenderwick.core.model.EndpointName;

/**
 * The connection shares of an owner, endpoint by endpoint, with raises held back while other owners may still use an
 * older seat table. Shares are kept by the name of the endpoint, so that changed settings do not start a wait. Confined
 * to the event loop of the group.
 */
final class DelayedIncreaseShares {
    private final Duration increaseDelay;
    private final Map<EndpointName, DelayedIncreaseShare> shares = new HashMap<>();

    DelayedIncreaseShares(Duration raiseWait) {
        this.increaseDelay = raiseWait;
    }

    /** Records the share by the newest seat table and returns the one that holds now. */
    int updateShare(GroupPlacement placement, EndpointSettings endpoint, Duration now) {
        DelayedIncreaseShare guard =
                shares.computeIfAbsent(endpoint.name(), name -> DelayedIncreaseShare.create(increaseDelay));
        guard.update(placement.connectionShare(endpoint), now);
        return guard.current(now);
    }
}
