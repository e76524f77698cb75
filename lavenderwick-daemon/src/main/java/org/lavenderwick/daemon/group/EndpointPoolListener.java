package org.lavenderwick.daemon.group;

import java.time.Duration;

import org.lavenderwick.adapters.endpoint.EndpointStatus;

/** What a group wants to know of the link to an endpoint. */
interface EndpointPoolListener {
    /** An answer carried the status of the endpoint; the question was sent at the given monotonic time. */
    void onStatus(EndpointStatus status, Duration askedAt);

    /** A connection came back from use or can be opened again. */
    void onConnectionAvailable();

    /** The number of open connections may have changed. */
    void onConnectionCountChanged();
}
