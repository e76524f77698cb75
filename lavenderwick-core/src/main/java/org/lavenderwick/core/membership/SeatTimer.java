package org.lavenderwick.core.membership;

import java.time.Duration;
import java.util.random.RandomGenerator;

import org.lavenderwick.core.time.Backoff;

/** The schedule for the retries of platform calls and for the lease renewals of a {@link SeatClaim}. */
final class SeatTimer {

    private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(200);
    private static final Duration LONGEST_RETRY_DELAY = Duration.ofSeconds(10);

    /** Limit of the random time by which a renewal is early. Spreads the renewals of daemons that started together. */
    private static final Duration RENEWAL_JITTER = Duration.ofSeconds(2);

    private final RandomGenerator random;
    private final Backoff backoff;
    private Duration retryAt = Duration.ZERO;
    private Duration renewAt = Duration.ZERO;

    SeatTimer(RandomGenerator random) {
        this.random = random;
        this.backoff = Backoff.create(FIRST_RETRY_DELAY, LONGEST_RETRY_DELAY, random);
    }

    /** Delays the next call after a failure, with exponential backoff. */
    void onFailure(Duration now) {
        retryAt = now.plus(backoff.nextDelay());
    }

    /** Resets the backoff after a success. */
    void onSuccess() {
        backoff.reset();
    }

    boolean isCallAllowed(Duration now) {
        return now.compareTo(retryAt) >= 0;
    }

    /** Schedules the next renewal after a lease was granted for its full time to live. */
    void onLeaseGranted(Duration now) {
        renewAt = now.plus(SeatClaim.RENEWAL_INTERVAL).minusMillis(random.nextLong(RENEWAL_JITTER.toMillis()));
    }

    /** Makes a renewal due immediately, and ends a backoff delay. */
    void makeRenewalDue(Duration now) {
        renewAt = now;
        retryAt = now;
    }

    boolean isRenewalDue(Duration now) {
        return now.compareTo(renewAt) >= 0;
    }
}
