package org.lavenderwick.core.membership;

import java.util.List;

import static com.google.common.base.Preconditions.checkState;

/** The one platform call of a claim whose answer is still to come. */
final class CallSlot {

    /** What is called. */
    enum Call {
        NONE,
        READ,
        ACQUIRE,
        RENEW,
        WRITE
    }

    private Call open = Call.NONE;

    Call open() {
        return open;
    }

    boolean isFree() {
        return open == Call.NONE;
    }

    /** Adds the action that makes the call. */
    void open(Call call, SeatAction action, List<SeatAction> actions) {
        checkState(isFree(), "the call %s is still open", open);
        open = call;
        actions.add(action);
    }

    /** Takes the answer to a call that must be the open one. */
    void close(Call call) {
        checkState(open == call, "the open call is %s, not %s", open, call);
        open = Call.NONE;
    }
}
