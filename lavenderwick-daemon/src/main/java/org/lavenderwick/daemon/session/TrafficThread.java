package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.Set;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.store.StoreChanges;

/** The traffic thread as other threads see it. All methods may be called from any thread. */
public interface TrafficThread {

    /** Hands over what the control thread knows. */
    void applySnapshot(FleetSnapshot view);

    /**
     * Hands over what was read of the store, for the daemons that follow this one.
     *
     * @param complete whether the changes are everything, so that whatever they lack has been removed
     * @param currentSince when the store was last known to have no later change
     */
    void publishStoreChanges(boolean complete, StoreChanges changes, Duration currentSince);

    /** Sends the daemons that follow this one elsewhere, as the store does not answer here. */
    void closeFeed();

    /** Returns the endpoints that do not answer this daemon. */
    Set<EndpointName> unresponsiveEndpoints();

    /** Returns whether statements wait for endpoints or run there, also of groups that this daemon does not own. */
    boolean isBusy();
}
