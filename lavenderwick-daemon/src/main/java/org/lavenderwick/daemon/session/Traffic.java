package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.Set;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.store.StoreChanges;

/** The traffic thread as other threads see it. All methods may be called from any thread. */
public interface Traffic {

    /** Hands over what the control thread knows. */
    void apply(FleetView view);

    /**
     * Hands over what was read of the store, for the daemons that follow this one.
     *
     * @param complete whether the changes are everything, so that whatever they lack has been removed
     * @param currentSince when the store was last known to have no later change
     */
    void passOn(boolean complete, StoreChanges changes, Duration currentSince);

    /** Sends the daemons that follow this one elsewhere, as the store does not answer here. */
    void endFeed();

    /** Returns the endpoints that do not answer this daemon. */
    Set<EndpointName> suspects();

    /** Returns whether statements wait for endpoints or run there, also of groups that this daemon does not own. */
    boolean isBusy();
}
