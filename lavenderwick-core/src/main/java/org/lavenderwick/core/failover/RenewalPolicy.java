package org.lavenderwick.core.failover;

import java.time.Duration;

/**
 * Decides how a daemon keeps its evidence from the term record fresh: by renewing the lease at the store, or by letting
 * another daemon confirm a renewal.
 *
 * <p>Answers the growth of the fleet: renewals of each daemon were three quarters of all calls to the store on a quiet
 * day of 95 daemons. Only the daemons whose feeds others read renew the lease at the store; a follower that gets no
 * confirmation does so too, so that evidence does not depend on another daemon. Thread-safe.
 */
public final class RenewalPolicy {

    /** Time between renewals. Evidence stays valid for several of these intervals. */
    static final Duration RENEWAL_INTERVAL = Duration.ofMillis(300);

    /**
     * Time between renewals of a daemon that confirms them to others, and between the requests of a daemon that lets
     * others confirm. Shorter, as the age of a confirmation and the interval add up.
     */
    static final Duration CONFIRMATION_INTERVAL = Duration.ofMillis(200);

    /** Time for which a daemon renews the lease itself after it has not got a confirmation. */
    static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    /** Time for which a daemon that was asked for a confirmation keeps renewing the lease for others. */
    static final Duration REQUEST_MEMORY = Duration.ofSeconds(2);

    /** Time between checks while this daemon needs no evidence; a statement that needs it waits for this long. */
    static final Duration NEED_CHECK_INTERVAL = Duration.ofMillis(100);

    /** Time between checks while the lease has expired and another daemon may replace it. */
    static final Duration EXPIRED_CHECK_INTERVAL = Duration.ofMillis(60);

    /** Age above which a confirmation is not accepted; with it, evidence would soon be too old. */
    private static final Duration MAX_CONFIRMATION_AGE = Duration.ofMillis(400);

    /** What to do now. */
    public enum Action {
        /** Nothing: no evidence is needed here. */
        NONE,

        /** Ask the daemon whose feed is read for a confirmation, and renew the lease if that fails. */
        REQUEST_CONFIRMATION,

        /** Renew the lease at the store. */
        RENEW
    }

    private Duration nextRequestAt = Duration.ZERO;
    private Duration requestedAt;

    private RenewalPolicy() {}

    /** Returns the policy of a daemon that has not been asked for a confirmation and has not missed one. */
    public static RenewalPolicy create() {
        return new RenewalPolicy();
    }

    /**
     * Returns what to do now.
     *
     * @param follower whether this daemon is one that lets others confirm
     * @param needed whether this daemon needs evidence for itself
     */
    public synchronized Action next(boolean follower, boolean needed, Duration now) {
        if (isAsked(now)) {
            // Only a renewal of its own may be confirmed to others.
            return Action.RENEW;
        } else if (!needed) {
            return Action.NONE;
        }
        return follower && now.compareTo(nextRequestAt) >= 0 ? Action.REQUEST_CONFIRMATION : Action.RENEW;
    }

    /** Returns how long to wait after an action until the next one. */
    public synchronized Duration pauseAfter(Action action, boolean follower, boolean leaseExpired, Duration now) {
        if (action == Action.NONE) {
            return NEED_CHECK_INTERVAL;
        } else if (leaseExpired) {
            return EXPIRED_CHECK_INTERVAL;
        }
        return follower || isAsked(now) ? CONFIRMATION_INTERVAL : RENEWAL_INTERVAL;
    }

    private boolean isAsked(Duration now) {
        return requestedAt != null && requestedAt.plus(REQUEST_MEMORY).compareTo(now) > 0;
    }

    /**
     * Records that another daemon has asked for a confirmation.
     *
     * @return whether it is the first one for a while, so that the lease should be renewed at once
     */
    public synchronized boolean onAsked(Duration now) {
        boolean first = !isAsked(now);
        requestedAt = now;
        return first;
    }

    /** Records that this daemon asked for a confirmation and got none that proves its record. */
    public synchronized void onConfirmationMissed(Duration now) {
        nextRequestAt = now.plus(RETRY_DELAY);
    }

    /** Returns whether a confirmation is for the lease of the record and recent enough to be of use. */
    public static boolean isUseful(LeaseConfirmation confirmation, TermRecord record) {
        return record.hasLease(confirmation.era(), confirmation.lease())
                && confirmation.age().compareTo(MAX_CONFIRMATION_AGE) <= 0;
    }
}
