package org.lavenderwick.core.membership;

import java.util.List;

import static com.google.common.base.Preconditions.checkState;

/** The platform call of a {@link SeatClaim} that has no response yet. At most one call is pending at a time. */
final class CallSlot {

    /** Kinds of platform calls. */
    enum Call {
        NONE,
        READ,
        ACQUIRE,
        RENEW,
        WRITE
    }

    private Call pending = Call.NONE;

    Call pending() {
        return pending;
    }

    boolean isFree() {
        return pending == Call.NONE;
    }

    /**
     * Marks the call as pending and adds the action that performs it.
     *
     * @throws IllegalStateException if another call is pending
     */
    void begin(Call call, SeatAction action, List<SeatAction> actions) {
        checkState(isFree(), "call %s is still pending", pending);
        pending = call;
        actions.add(action);
    }

    /**
     * Marks the call as completed.
     *
     * @throws IllegalStateException if the call is not the pending one
     */
    void complete(Call call) {
        checkState(pending == call, "pending call is %s, not %s", pending, call);
        pending = Call.NONE;
    }
}
