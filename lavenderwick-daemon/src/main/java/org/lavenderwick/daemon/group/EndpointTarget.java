package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.time.Instant;

import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.core.admission.ConcurrencyLimit;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.routing.EndpointSnapshot;
import org.lavenderwick.core.routing.LatencyTracker;

/** Endpoint that work is sent to, with its connections, concurrency limit and load. Confined to the event loop. */
final class EndpointTarget {
    /** Time without responses after which a single fast response makes a slow endpoint count as fast again. */
    private static final Duration LATENCY_DECAY = Duration.ofSeconds(5);

    private final EndpointConnectionPool connections;
    private final ConcurrencyLimit limit;
    private final EventLoop loop;
    private final LatencyTracker latency = LatencyTracker.create(LATENCY_DECAY);
    private int inFlight;
    private boolean leaving;

    EndpointTarget(EndpointConnectionPool connections, ConcurrencyLimit limit, EventLoop loop) {
        this.connections = connections;
        this.limit = limit;
        this.loop = loop;
    }

    EndpointConnectionPool connections() {
        return connections;
    }

    EndpointName name() {
        return connections.settings().name();
    }

    Duration latency() {
        return latency.value();
    }

    int inFlight() {
        return inFlight;
    }

    int limit() {
        return limit.limit();
    }

    boolean isLeaving() {
        return leaving;
    }

    void setLeaving(boolean newLeaving) {
        leaving = newLeaving;
    }

    /** Sets the number of connections that this owner may open, and the maximum of the concurrency limit with it. */
    void resize(int share) {
        connections.resize(share);
        limit.setMaximum(connections.poolState().trafficShare());
    }

    /**
     * Returns whether a request can start: the endpoint is usable, its concurrency limit is not reached, and a
     * connection is idle or can be opened.
     *
     * @param mayOpen whether a connection may be opened for the request
     */
    boolean hasCapacity(boolean mayOpen) {
        return isUsable()
                && inFlight < limit.limit()
                && (connections.hasIdleConnection() || (mayOpen && connections.canOpenTrafficConnection()));
    }

    /** Returns whether new work may be sent to the endpoint: it is reachable and not leaving. */
    boolean isUsable() {
        return !leaving && connections.isReachable();
    }

    /** Counts a request as in flight. */
    void onRequestStarted() {
        inFlight++;
    }

    /** Removes a request from those in flight. */
    void onRequestEnded() {
        inFlight--;
    }

    /** Records the response to a request that was sent at the given monotonic time. */
    void recordResponse(Duration sentAt) {
        Duration now = loop.now();
        latency.record(now.minus(sentAt), now);
        limit.recordResponse(now.minus(sentAt), inFlight);
    }

    /** Records that a request sent at the given monotonic time got no response. */
    void recordTimeout(Duration sentAt) {
        Duration now = loop.now();
        latency.record(now.minus(sentAt), now);
        limit.recordTimeout();
    }

    /**
     * Returns the state of the endpoint for a routing decision. If the endpoint has no capacity, the snapshot shows its
     * limit as reached.
     *
     * @param primary whether the endpoint is the primary of the newest known term
     * @param mayOpen whether a connection may be opened for the request
     * @param now wall time
     */
    EndpointSnapshot snapshot(boolean primary, boolean mayOpen, Instant now) {
        boolean hasCapacity = hasCapacity(mayOpen);
        return new EndpointSnapshot(
                name(),
                connections.settings().failureDomain(),
                primary,
                connections.lastStatus().map(EndpointStatus::point).orElse(LogPoint.START),
                connections.lastStatus().map(EndpointStatus::pointTime).orElse(Instant.EPOCH),
                connections.lastStatus().isPresent() ? connections.lastStatusTime() : now,
                latency.value(),
                hasCapacity ? inFlight : Math.max(1, inFlight),
                hasCapacity ? limit.limit() : Math.max(1, inFlight),
                leaving,
                connections.isReachable());
    }
}
