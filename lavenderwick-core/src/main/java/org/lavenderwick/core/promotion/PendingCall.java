package org.lavenderwick.core.promotion;

import java.time.Duration;

/** The platform call whose result a coordinator waits for. At most one call is pending. */
final class PendingCall {

    private static final long NONE = 0;

    private final Duration timeout;
    private long last = NONE;
    private long pending = NONE;
    private boolean renewal;
    private Duration sentAt = Duration.ZERO;

    PendingCall(PromotionTimings timings) {
        this.timeout = timings.platformTimeout();
    }

    /** Starts a call and returns its number. */
    long start(boolean isRenewal, Duration now) {
        pending = ++last;
        renewal = isRenewal;
        sentAt = now;
        return pending;
    }

    /** Returns the number for a call whose result is ignored. */
    long nextNumber() {
        return ++last;
    }

    /** Completes the pending call if it has the given number, and returns whether it had. */
    boolean complete(long call) {
        boolean awaited = call == pending && call != NONE;
        pending = awaited ? NONE : pending;
        return awaited;
    }

    /** Abandons the pending call if it has timed out, and returns whether it had. */
    boolean abandonIfTimedOut(Duration now) {
        return isPending() && now.compareTo(timeoutAt()) >= 0 && complete(pending);
    }

    void abandon() {
        pending = NONE;
        renewal = false;
    }

    boolean isPending() {
        return pending != NONE;
    }

    /** Returns whether the last started call was a lease renewal. */
    boolean isRenewal() {
        return renewal;
    }

    /** Returns the monotonic time read before the last started call was sent. */
    Duration sentAt() {
        return sentAt;
    }

    Duration timeoutAt() {
        return sentAt.plus(timeout);
    }
}
