package org.lavenderwick.daemon.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

import org.jboss.logging.Logger;

/**
 * The task of the thread that renews the lease of the term record, which is the evidence of the primaries. It makes no
 * other calls, so that a call that the store leaves without a response delays neither the changes of the fleet nor the
 * daemon's own entries.
 */
final class EvidenceRenewal implements Runnable {

    /** Time between renewals of the lease of the term record. Evidence stays valid for several of these intervals. */
    private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(300);

    /** Time between checks while the lease has expired and another daemon may replace it. */
    private static final Duration EXPIRED_CHECK_INTERVAL = Duration.ofMillis(60);

    private static final Logger LOG = Logger.getLogger(EvidenceRenewal.class);

    private final TermRecordManager terms;
    private final Supplier<Boolean> needed;
    private final Supplier<Optional<Duration>> replacementDelay;
    private final Runnable onRenewed;
    private boolean renewNow;

    /**
     * Creates the task.
     *
     * @param needed returns whether this daemon needs evidence
     * @param replacementDelay returns how long this daemon waits for others to replace an expired lease; empty if it
     *     leaves that to others altogether
     * @param onRenewed runs after each renewal
     */
    EvidenceRenewal(
            TermRecordManager terms,
            Supplier<Boolean> needed,
            Supplier<Optional<Duration>> replacementDelay,
            Runnable onRenewed) {
        this.terms = terms;
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
                if (needed.get()) {
                    terms.renewLease(replacementDelay.get());
                    onRenewed.run();
                }
                awaitNext();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (RuntimeException e) {
                LOG.errorf(e, "[fleet] Renewing the lease of the term record failed unexpectedly; trying again.");
            }
        }
    }

    private synchronized void awaitNext() throws InterruptedException {
        if (!renewNow) {
            wait((terms.isLeaseExpired() ? EXPIRED_CHECK_INTERVAL : RENEWAL_INTERVAL).toMillis());
        }
        renewNow = false;
    }
}
