package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.time.Instant;

import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.core.admission.ConcurrencyLimit;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.routing.EndpointSnapshot;
import org.lavenderwick.core.routing.LatencyTracker;

/** An endpoint as a target of work: its link, its concurrency limit and its load. Confined to the event loop. */
final class EndpointTarget {
    /** Time without answers after which one fast answer makes a slow endpoint count as fast again. */
    private static final Duration LATENCY_DECAY = Duration.ofSeconds(5);

    private final EndpointConnectionPool connections;
    private final ConcurrencyLimit limit;
    private final EventLoop loop;
    private final LatencyTracker latency = LatencyTracker.create(LATENCY_DECAY);
    private int inFlight;
    private boolean leaving;

    EndpointTarget(EndpointConnectionPool link, ConcurrencyLimit limit, EventLoop loop) {
        this.connections = link;
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

    void setLeaving(boolean isLeaving) {
        leaving = isLeaving;
    }

    /** Changes the share of connections and with it the highest limit. */
    void resize(int share) {
        connections.resize(share);
        limit.setMaximum(connections.poolState().trafficShare());
    }

    /** Returns whether work can start: below the limit, with an idle connection or one that may be opened. */
    boolean hasCapacity(boolean mayOpen) {
        return isUsable()
                && inFlight < limit.limit()
                && (connections.hasIdleConnection() || (mayOpen && connections.canOpenTrafficConnection()));
    }

    boolean isUsable() {
        return !leaving && connections.isReachable();
    }

    void onRequestStarted() {
        inFlight++;
    }

    void onRequestEnded() {
        inFlight--;
    }

    /** Records an answer to a request that was sent at the given time. */
    void recordResponse(Duration sentAt) {
        Duration now = loop.now();
        latency.record(now.minus(sentAt), now);
        limit.recordResponse(now.minus(sentAt), inFlight);
    }

    /** Records a request without an answer. */
    void recordTimeout(Duration sentAt) {
        Duration now = loop.now();
        latency.record(now.minus(sentAt), now);
        limit.recordTimeout();
    }

    /**
     * Returns what routing needs to know.
     *
     * @param primary whether the endpoint is the primary of the newest known term
     * @param mayOpen whether a connection may be opened for the work
     * @param now wall time
     */
    EndpointSnapshot snapshot(boolean primary, boolean mayOpen, Instant now) {
        boolean room = hasCapacity(mayOpen);
        return new EndpointSnapshot(
                name(),
                connections.settings().failureDomain(),
                primary,
                connections.lastStatus().map(EndpointStatus::point).orElse(LogPoint.START),
                connections.lastStatus().map(EndpointStatus::pointTime).orElse(Instant.EPOCH),
                connections.lastStatus().isPresent() ? connections.lastStatusTime() : now,
                latency.value(),
                room ? inFlight : Math.max(1, inFlight),
                room ? limit.limit() : Math.max(1, inFlight),
                leaving,
                connections.isReachable());
    }
}
