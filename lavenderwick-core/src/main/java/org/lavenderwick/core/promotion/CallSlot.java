package org.lavenderwick.core.promotion;

import java.time.Duration;

/** The platform call that a coordinator waits for; there is at most one. */
final class CallSlot {

    private static final long NONE = 0;

    private final Duration timeout;
    private long last = NONE;
    private long pending = NONE;
    private boolean renewal;
    private Duration askedAt = Duration.ZERO;

    CallSlot(PromotionTimings timings) {
        this.timeout = timings.platformTimeout();
    }

    /** Returns the number of a new call, which is waited for. */
    long open(boolean isRenewal, Duration now) {
        pending = ++last;
        renewal = isRenewal;
        askedAt = now;
        return pending;
    }

    /** Returns the number of a new call whose answer does not matter. */
    long unanswered() {
        return ++last;
    }

    /** Returns whether the call is the one that is waited for, and stops waiting. */
    boolean close(long call) {
        boolean awaited = call == pending && call != NONE;
        pending = awaited ? NONE : pending;
        return awaited;
    }

    /** Stops waiting if the answer is overdue, and returns whether it was. */
    boolean closeIfOverdue(Duration now) {
        return isOpen() && now.compareTo(overdueAt()) >= 0 && close(pending);
    }

    void abandon() {
        pending = NONE;
        renewal = false;
    }

    boolean isOpen() {
        return pending != NONE;
    }

    /** Returns whether the last call renewed the lease. */
    boolean isRenewal() {
        return renewal;
    }

    /** Returns the time before the last call was sent. */
    Duration askedAt() {
        return askedAt;
    }

    Duration overdueAt() {
        return askedAt.plus(timeout);
    }
}
