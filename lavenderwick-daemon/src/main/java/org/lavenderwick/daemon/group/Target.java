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
final class Target {
    /** Time without answers after which one fast answer makes a slow endpoint count as fast again. */
    private static final Duration LATENCY_DECAY = Duration.ofSeconds(5);

    private final EndpointLink link;
    private final ConcurrencyLimit limit;
    private final EventLoop loop;
    private final LatencyTracker latency = LatencyTracker.create(LATENCY_DECAY);
    private int outstanding;
    private boolean leaving;

    Target(EndpointLink link, ConcurrencyLimit limit, EventLoop loop) {
        this.link = link;
        this.limit = limit;
        this.loop = loop;
    }

    EndpointLink link() {
        return link;
    }

    EndpointName name() {
        return link.settings().name();
    }

    Duration latency() {
        return latency.value();
    }

    int outstanding() {
        return outstanding;
    }

    int limit() {
        return limit.limit();
    }

    boolean leaving() {
        return leaving;
    }

    void leaving(boolean isLeaving) {
        leaving = isLeaving;
    }

    /** Changes the share of connections and with it the highest limit. */
    void resize(int share) {
        link.resize(share);
        limit.setMaximum(link.pool().trafficShare());
    }

    /** Returns whether work can start: below the limit, with an idle connection or one that may be opened. */
    boolean hasRoom(boolean mayOpen) {
        return usable()
                && outstanding < limit.limit()
                && (link.hasIdleConnection() || (mayOpen && link.mayOpenForTraffic()));
    }

    boolean usable() {
        return !leaving && link.reachable();
    }

    void started() {
        outstanding++;
    }

    void ended() {
        outstanding--;
    }

    /** Records an answer to a request that was sent at the given time. */
    void answered(Duration sentAt) {
        Duration now = loop.now();
        latency.record(now.minus(sentAt), now);
        limit.recordResponse(now.minus(sentAt), outstanding);
    }

    /** Records a request without an answer. */
    void timedOut(Duration sentAt) {
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
    EndpointSnapshot view(boolean primary, boolean mayOpen, Instant now) {
        boolean room = hasRoom(mayOpen);
        return new EndpointSnapshot(
                name(),
                link.settings().failureDomain(),
                primary,
                link.lastStatus().map(EndpointStatus::point).orElse(LogPoint.START),
                link.lastStatus().map(EndpointStatus::pointTime).orElse(Instant.EPOCH),
                link.lastStatus().isPresent() ? link.observed() : now,
                latency.value(),
                room ? outstanding : Math.max(1, outstanding),
                room ? limit.limit() : Math.max(1, outstanding),
                leaving,
                link.reachable());
    }
}
