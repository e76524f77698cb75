package org.lavenderwick.daemon.session;

import java.util.Set;

import org.lavenderwick.core.model.EndpointName;

/** What the traffic thread tells the control thread. May be called from any thread. */
public interface TrafficState {

    /** Returns the endpoints that do not answer this daemon. */
    Set<EndpointName> suspects();

    /** Returns whether statements wait for endpoints or run there, also of groups that this daemon does not own. */
    boolean isBusy();
}
