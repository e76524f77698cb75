package org.lavenderwick.core.promotion;

import java.time.Duration;

/** The coordinator's view of its lease. Its life is counted from before the platform was asked. */
final class LeaseHold {

    private static final long NONE = -1;

    private final Duration usable;
    private long token = NONE;
    private Duration until = Duration.ZERO;
    private Duration renewAt = Duration.ZERO;

    LeaseHold(PromotionTimings timings) {
        this.usable = timings.leaseUsable();
    }

    /** Takes a grant or a renewal, unless its answer came too late to be of use. */
    void granted(long newToken, Duration askedAt, Duration now) {
        if (now.compareTo(askedAt.plus(usable)) < 0) {
            token = newToken;
            until = askedAt.plus(usable);
            renewAt = askedAt.plus(usable.dividedBy(2));
        }
    }

    boolean isHeld() {
        return token != NONE;
    }

    boolean isLapsed(Duration now) {
        return isHeld() && now.compareTo(until) >= 0;
    }

    boolean isRenewalDue(Duration now) {
        return isHeld() && now.compareTo(renewAt) >= 0;
    }

    void renewNotBefore(Duration at) {
        renewAt = at;
    }

    void drop() {
        token = NONE;
    }

    long token() {
        return token;
    }

    Duration until() {
        return until;
    }

    Duration renewAt() {
        return renewAt;
    }
}
