package org.lavenderwick.daemon.group;

import java.time.Duration;

import org.lavenderwick.adapters.endpoint.EndpointStatus;

/** Listener for events of an {@link EndpointConnectionPool}. Called on the event loop of the group. */
interface EndpointPoolListener {
    /** Called with the status in a response of the endpoint and the monotonic time at which the request was sent. */
    void onStatus(EndpointStatus status, Duration sentAt);

    /** Called when a connection was released, so that it is idle again or another one can be opened in its place. */
    void onConnectionAvailable();

    /** Called when the number of connections that are open or being opened may have changed. */
    void onConnectionCountChanged();
}
