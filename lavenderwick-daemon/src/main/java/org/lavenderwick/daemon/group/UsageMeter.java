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
    private final AtomicReference<PaidLevel> paid;
    private int open;

    UsageMeter(SpendingPolicy policy, InstantSource wallClock) {
        this.policy = policy;
        this.wallClock = wallClock;
        Instant now = wallClock.instant();
        this.meter = MinuteMeter.startingAt(now);
        this.paid = new AtomicReference<>(PaidLevel.startOf(now));
    }

    /** Returns the level paid for. May be called from any thread. */
    PaidLevel paid() {
        return paid.get();
    }

    /** Merges a level that the platform has. May be called from any thread. */
    void paidElsewhere(PaidLevel level) {
        paid.updateAndGet(known -> known.merge(level));
    }

    int openConnections() {
        return open;
    }

    void connections(int nowOpen) {
        open = nowOpen;
        meter.recordConnections(nowOpen, wallClock.instant());
        raise();
    }

    boolean mayOpen(WorkEstimate demand) {
        Instant now = wallClock.instant();
        return policy.mayOpenConnection(paid.get().at(now), meter.current(now), open, demand, now);
    }

    boolean mayStart(WorkEstimate demand) {
        Instant now = wallClock.instant();
        return policy.mayStart(paid.get().at(now), meter.current(now), demand, now);
    }

    void started(WorkEstimate demand) {
        Instant now = wallClock.instant();
        policy.recordStarted(demand, now);
        meter.recordStatements(demand.statements(), now);
        raise();
    }

    /** Returns the usage of the running minute. */
    MinuteUsage current() {
        return meter.current(wallClock.instant());
    }

    private void raise() {
        MinuteUsage usage = meter.current(wallClock.instant());
        paid.updateAndGet(known -> known.raisedBy(usage));
    }
}
