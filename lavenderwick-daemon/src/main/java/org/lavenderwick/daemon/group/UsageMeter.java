package org.lavenderwick.daemon.group;

import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicReference;

import org.lavenderwick.core.billing.MinuteMeter;
import org.lavenderwick.core.billing.MinuteUsage;
import org.lavenderwick.core.billing.PaidLevel;
import org.lavenderwick.core.billing.SpendingPolicy;
import org.lavenderwick.core.billing.WorkEstimate;

/**
 * Meter of the connections and statements of a group, which decides by the spending policy whether more may be used.
 * Confined to the event loop, except for the methods that say otherwise.
 */
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

    /** Returns the level of usage already paid for in the billing period. May be called from any thread. */
    PaidLevel paidLevel() {
        return paidLevel.get();
    }

    /** Merges a paid level that was read from the platform. May be called from any thread. */
    void mergePaidLevel(PaidLevel level) {
        paidLevel.updateAndGet(known -> known.merge(level));
    }

    int openConnections() {
        return openConnections;
    }

    /** Records the number of connections that are open or being opened. */
    void recordOpenConnections(int count) {
        openConnections = count;
        meter.recordConnections(count, wallClock.instant());
        raisePaidLevel();
    }

    /** Returns whether the spending policy allows opening one more connection for the work. */
    boolean mayOpenConnection(WorkEstimate work) {
        Instant now = wallClock.instant();
        return policy.mayOpenConnection(paidLevel.get().at(now), meter.current(now), openConnections, work, now);
    }

    /** Returns whether the spending policy allows starting the work. */
    boolean mayStart(WorkEstimate work) {
        Instant now = wallClock.instant();
        return policy.mayStart(paidLevel.get().at(now), meter.current(now), work, now);
    }

    /** Records that the work was started. */
    void recordStart(WorkEstimate work) {
        Instant now = wallClock.instant();
        policy.recordStarted(work, now);
        meter.recordStatements(work.statements(), now);
        raisePaidLevel();
    }

    /** Returns the usage of the current minute. */
    MinuteUsage currentMinute() {
        return meter.current(wallClock.instant());
    }

    private void raisePaidLevel() {
        MinuteUsage usage = meter.current(wallClock.instant());
        paidLevel.updateAndGet(known -> known.raisedBy(usage));
    }
}
