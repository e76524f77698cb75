package org.lavenderwick.daemon.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

import org.jboss.logging.Logger;
import org.lavenderwick.core.failover.LeaseConfirmation;
import org.lavenderwick.core.failover.LeaseEvidence;
import org.lavenderwick.core.failover.RenewalPolicy;
import org.lavenderwick.core.time.MonotonicClock;

/**
 * The task of the thread that renews the lease of the term record, which is the evidence of the primaries. It makes no
 * other calls, so that a call that the store leaves without a response delays neither the changes of the fleet nor the
 * daemon's own entries.
 * What it does, and when, is decided by {@link RenewalPolicy}.
 */
final class EvidenceRenewal implements Runnable {

    /** Longest time to wait for a confirmation. */
    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofMillis(120);

    private static final Logger LOG = Logger.getLogger(EvidenceRenewal.class);

    private final TermRecordManager terms;
    private final LeaseConfirmations confirmations;
    private final MonotonicClock clock;
    private final Supplier<Boolean> follower;
    private final Supplier<Boolean> needed;
    private final Supplier<Optional<Duration>> replacementDelay;
    private final Runnable onRenewed;
    private final RenewalPolicy policy = RenewalPolicy.create();
    private boolean renewNow;

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
            RenewalPolicy.Action action = policy.next(follower.get(), needed.get(), clock.now());
            try {
                perform(action);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (RuntimeException e) {
                LOG.errorf(e, "[fleet] Renewing the lease of the term record failed unexpectedly; trying again.");
            }
            awaitNext(action);
        }
    }

    private void perform(RenewalPolicy.Action action) throws InterruptedException {
        if (action == RenewalPolicy.Action.NONE) {
            return;
        }
        Duration startedAt = clock.now();
        boolean asked = action == RenewalPolicy.Action.REQUEST_CONFIRMATION;
        boolean confirmed = asked && requestConfirmation();
        if (asked && !confirmed) {
            policy.onConfirmationMissed(startedAt);
        }
        if (!confirmed && !terms.renewLease(replacementDelay.get()) && !asked) {
            // The store may refuse this daemon alone.
            requestConfirmation();
        }
        onRenewed.run();
    }

    /** Lets the daemon whose feed is read confirm its renewal; returns whether the confirmation proves the record. */
    private boolean requestConfirmation() throws InterruptedException {
        Duration requestedAt = clock.now();
        Optional<LeaseConfirmation> confirmation = confirmations.request(CONFIRMATION_TIMEOUT);
        return confirmation.isPresent() && terms.onConfirmed(confirmation.get(), requestedAt);
    }

    private synchronized void awaitNext(RenewalPolicy.Action action) {
        try {
            if (!renewNow) {
                wait(policy.pauseAfter(action, follower.get(), terms.isLeaseExpired(), clock.now())
                        .toMillis());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        renewNow = false;
    }

    /**
     * Returns the confirmation of this daemon's last renewal for another daemon. May be called from any thread.
     *
     * @param discardedUntil checks whether the host was suspended, see {@link LeaseEvidence#confirmation}
     */
    Optional<LeaseConfirmation> confirm(Supplier<Duration> discardedUntil) {
        if (policy.onAsked(clock.now())) {
            requestRenewal();
        }
        return terms.evidence().confirmation(clock, discardedUntil);
    }
}
