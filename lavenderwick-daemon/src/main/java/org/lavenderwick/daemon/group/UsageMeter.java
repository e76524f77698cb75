package org.lavenderwick.daemon.group;

import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicReference;

import org.lavenderwick.core.billing.MinuteMeter;
import org.lavenderwick.core.billing.MinuteUsage;
import org.lavenderwick.core.billing.PaidLevel;
import org.lavenderwick.core.billing.SpendingPolicy;
import org.lavenderwick.core.billing.WorkEstimate;

/** Counts the usage of a group and asks the spending policy. Confined to the event loop, but for the paid level. */
final class UsageMeter {
    private final SpendingPolicy policy;
    private final InstantSource wallClock;
    private final MinuteMeter meter;
    private final AtomicReference<PaidLevel> paidLevel;
    private int openConnections;

    UsageMeter(SpendingPolicy policy, InstantSource wallClock) {
        this.policy = policy;
        this.wallClock = wallClock;
        Instant now = wallClock.instant();
        this.meter = MinuteMeter.startingAt(now);
        this.paidLevel = new AtomicReference<>(PaidLevel.startOf(now));
    }

    /** Returns the level paid for. May be called from any thread. */
    PaidLevel paidLevel() {
        return paidLevel.get();
    }

    /** Merges a level that the platform has. May be called from any thread. */
    void mergePaidLevel(PaidLevel level) {
        paidLevel.updateAndGet(known -> known.merge(level));
    }

    int openConnections() {
        return openConnections;
    }

    void recordOpenConnections(int nowOpen) {
        openConnections = nowOpen;
        meter.recordConnections(nowOpen, wallClock.instant());
        raisePaidLevel();
    }

    boolean mayOpenConnection(WorkEstimate demand) {
        Instant now = wallClock.instant();
        return policy.mayOpenConnection(paidLevel.get().at(now), meter.current(now), openConnections, demand, now);
    }

    boolean mayStart(WorkEstimate demand) {
        Instant now = wallClock.instant();
        return policy.mayStart(paidLevel.get().at(now), meter.current(now), demand, now);
    }

    void recordStart(WorkEstimate demand) {
        Instant now = wallClock.instant();
        policy.recordStarted(demand, now);
        meter.recordStatements(demand.statements(), now);
        raisePaidLevel();
    }

    /** Returns the usage of the running minute. */
    MinuteUsage currentMinute() {
        return meter.current(wallClock.instant());
    }

    private void raisePaidLevel() {
        MinuteUsage usage = meter.current(wallClock.instant());
        paidLevel.updateAndGet(known -> known.raisedBy(usage));
    }
}
