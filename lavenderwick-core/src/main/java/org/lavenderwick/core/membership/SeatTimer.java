package org.lavenderwick.core.membership;

import java.time.Duration;
import java.util.random.RandomGenerator;

import org.lavenderwick.core.time.Backoff;

/** When a claim may make its next platform call and when its lease is due for renewal. */
final class SeatTimer {

    private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(200);
    private static final Duration LONGEST_RETRY_DELAY = Duration.ofSeconds(10);

    /** Largest random advance of a renewal, so that a fleet that started together spreads its renewals out. */
    private static final Duration RENEWAL_JITTER = Duration.ofSeconds(2);

    private final RandomGenerator random;
    private final Backoff backoff;
    private Duration retryAt = Duration.ZERO;
    private Duration renewAt = Duration.ZERO;

    SeatTimer(RandomGenerator random) {
        this.random = random;
        this.backoff = Backoff.create(FIRST_RETRY_DELAY, LONGEST_RETRY_DELAY, random);
    }

    /** Holds calls back after a failure, longer each time. */
    void failed(Duration now) {
        retryAt = now.plus(backoff.nextDelay());
    }

    /** Ends the run of failures. */
    void succeeded() {
        backoff.reset();
    }

    boolean mayCall(Duration now) {
        return now.compareTo(retryAt) >= 0;
    }

    /** The lease was granted for a full time to live. */
    void granted(Duration now) {
        renewAt = now.plus(SeatClaim.RENEWAL_INTERVAL).minusMillis(random.nextLong(RENEWAL_JITTER.toMillis()));
    }

    /** Makes a renewal due at once. */
    void renewNow(Duration now) {
        renewAt = now;
        retryAt = now;
    }

    boolean renewalDue(Duration now) {
        return now.compareTo(renewAt) >= 0;
    }
}
