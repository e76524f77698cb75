package org.lavenderwick.core.promotion;

import java.time.Duration;

/**
 * The lease of a coordinator: the exclusive right, for a limited time, to change the record of one group. Its validity
 * is counted from the time before the request was sent, so it ends no later here than on the platform.
 */
final class CoordinatorLease {

    private static final long NONE = -1;

    private final Duration validity;
    private long token = NONE;
    private Duration validUntil = Duration.ZERO;
    private Duration renewAt = Duration.ZERO;

    CoordinatorLease(PromotionTimings timings) {
        this.validity = timings.leaseValidity();
    }

    /** Records a grant or a renewal, unless the response arrived after the lease had expired. */
    void onGranted(long newToken, Duration sentAt, Duration now) {
        if (now.compareTo(sentAt.plus(validity)) < 0) {
            token = newToken;
            validUntil = sentAt.plus(validity);
            renewAt = sentAt.plus(validity.dividedBy(2));
        }
    }

    boolean isHeld() {
        return token != NONE;
    }

    boolean isExpired(Duration now) {
        return isHeld() && now.compareTo(validUntil) >= 0;
    }

    boolean isRenewalDue(Duration now) {
        return isHeld() && now.compareTo(renewAt) >= 0;
    }

    void postponeRenewal(Duration at) {
        renewAt = at;
    }

    void drop() {
        token = NONE;
    }

    long token() {
        return token;
    }

    Duration validUntil() {
        return validUntil;
    }

    Duration renewAt() {
        return renewAt;
    }
}
