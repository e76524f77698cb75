package org.lavenderwick.daemon.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

import org.jboss.logging.Logger;
import org.lavenderwick.core.failover.LeaseConfirmation;
import org.lavenderwick.core.time.MonotonicClock;

/**
 * The task of the thread that renews the lease of the term record, which is the evidence of the primaries. It makes no
 * other calls, so that a call that the store leaves without a response delays neither the changes of the fleet nor the
 * daemon's own entries.
 *
 * <p>In a large fleet only the heads of the failure domains renew the lease at the store, and the followers let them
 * confirm their renewals: the calls to the store then do not grow with the fleet. A follower that gets no confirmation
 * renews the lease itself.
 */
final class EvidenceRenewal implements Runnable {

    /** Time between renewals. Evidence stays valid for several of these intervals. */
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(300);

    /**
     * Time between renewals of a daemon that confirms them to others, and between the requests of a daemon that lets
     * others confirm. Shorter, as the age of a confirmation and the interval add up.
     */
    private static final Duration CONFIRMATION_INTERVAL = Duration.ofMillis(200);

    /** Longest time to wait for a confirmation. */
    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofMillis(120);

    /** Time for which a daemon renews the lease itself after it has not got a confirmation. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    /** Time for which a daemon that was asked for a confirmation keeps renewing the lease for others. */
    private static final Duration REQUEST_MEMORY = Duration.ofSeconds(2);

    /** Time between checks while this daemon needs no evidence; a statement that needs it waits for this long. */
    private static final Duration NEED_CHECK_INTERVAL = Duration.ofMillis(100);

    /** Time between checks while the lease has expired and another daemon may replace it. */
    private static final Duration EXPIRED_CHECK_INTERVAL = Duration.ofMillis(60);

    private static final Logger LOG = Logger.getLogger(EvidenceRenewal.class);

    private final TermRecordManager terms;
    private final LeaseConfirmations confirmations;
    private final MonotonicClock clock;
    private final Supplier<Boolean> follower;
    private final Supplier<Boolean> needed;
    private final Supplier<Optional<Duration>> replacementDelay;
    private final Runnable onRenewed;
    private boolean renewNow;
    private Duration nextConfirmationAt = Duration.ZERO;
    private volatile Duration lastRequestedAt;

    /**
     * Creates the task.
     *
     * @param follower returns whether this daemon lets others confirm their renewals
     * @param needed returns whether this daemon needs evidence
     * @param replacementDelay returns how long this daemon waits for others to replace an expired lease; empty if it
     *     leaves that to others altogether
     * @param onRenewed runs after each renewal
     */
    EvidenceRenewal(
            TermRecordManager terms,
            LeaseConfirmations confirmations,
            MonotonicClock clock,
            Supplier<Boolean> follower,
            Supplier<Boolean> needed,
            Supplier<Optional<Duration>> replacementDelay,
            Runnable onRenewed) {
        this.terms = terms;
        this.confirmations = confirmations;
        this.clock = clock;
        this.follower = follower;
        this.needed = needed;
        this.replacementDelay = replacementDelay;
        this.onRenewed = onRenewed;
    }

    /** Renews the lease at once, because the term record has changed. May be called from any thread. */
    synchronized void requestRenewal() {
        renewNow = true;
        notifyAll();
    }

    @Override
    public void run() {
        while (!Thread.currentThread().isInterrupted()) {
            try {
                boolean confirmsToOthers = isConfirmingToOthers();
                boolean active = needed.get() || confirmsToOthers;
                if (active) {
                    if (confirmsToOthers || !requestConfirmation()) {
                        terms.renewLease(replacementDelay.get());
                    }
                    onRenewed.run();
                }
                awaitNext(active);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (RuntimeException e) {
                LOG.errorf(e, "[fleet] Renewing the lease of the term record failed unexpectedly; trying again.");
            }
        }
    }

    /**
     * Returns the confirmation of this daemon's last renewal for another daemon. May be called from any thread.
     *
     * @param discardedUntil time until which all evidence was discarded
     */
    Optional<LeaseConfirmation> confirm(Duration now, Duration discardedUntil) {
        boolean first = !isConfirmingToOthers();
        lastRequestedAt = now;
        if (first) {
            requestRenewal();
        }
        return terms.evidence().confirmation(now, discardedUntil);
    }

    private boolean isConfirmingToOthers() {
        Duration requestedAt = lastRequestedAt;
        return requestedAt != null && requestedAt.plus(REQUEST_MEMORY).compareTo(clock.now()) > 0;
    }

    /** Lets the daemon whose feed is read confirm its renewal; returns whether the confirmation proves the record. */
    private boolean requestConfirmation() throws InterruptedException {
        Duration now = clock.now();
        if (!follower.get() || now.compareTo(nextConfirmationAt) < 0) {
            return false;
        }
        Optional<LeaseConfirmation> confirmation = confirmations.request(CONFIRMATION_TIMEOUT);
        if (confirmation.isPresent() && terms.onConfirmed(confirmation.get(), now)) {
            return true;
        }
        nextConfirmationAt = now.plus(RETRY_DELAY);
        return false;
    }

    private synchronized void awaitNext(boolean active) throws InterruptedException {
        if (!renewNow) {
            wait(interval(active).toMillis());
        }
        renewNow = false;
    }

    private Duration interval(boolean active) {
        if (!active) {
            return NEED_CHECK_INTERVAL;
        } else if (terms.isLeaseExpired()) {
            return EXPIRED_CHECK_INTERVAL;
        }
        return follower.get() || isConfirmingToOthers() ? CONFIRMATION_INTERVAL : RENEWAL_INTERVAL;
    }
}
