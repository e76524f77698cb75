package org.lavenderwick.daemon.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.store.EraRevision;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreWrite;
import org.lavenderwick.core.time.Backoff;

/**
 * A store entry of this daemon that is bound to a lease, so that the store deletes it after the daemon has died.
 * Confined to one thread.
 */
final class LeasedEntry {

    /** Limit of the first delay after a failed call. Allows only few attempts per lease, as each call is billed. */
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(300);

    /** Limit of all later delays. */
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(2);

    /**
     * The last successful renewal of the lease of an entry.
     *
     * @param lease the lease, under which other entries may be written
     * @param era the era of the store in which it was granted
     * @param sentAt when the renewal, or else the grant, was sent
     */
    record Renewal(long lease, long era, Duration sentAt) {}

    private static final Logger LOG = Logger.getLogger(LeasedEntry.class);

    private final FleetStore store;
    private final String key;
    private final Duration timeToLive;
    private final Backoff backoff;
    private long lease = StoreWrite.NO_LEASE;
    private long era;
    private Duration renewedAt;
    private Duration nextAttemptAt = Duration.ofSeconds(Long.MIN_VALUE);

    LeasedEntry(FleetStore store, String key, Duration timeToLive, RandomGenerator random) {
        this.store = store;
        this.key = key;
        this.timeToLive = timeToLive;
        this.backoff = Backoff.create(MIN_RETRY_DELAY, MAX_RETRY_DELAY, random);
    }

    /**
     * Writes the entry if this daemon has no lease for it; otherwise renews the lease once a third of its time to live
     * has passed. Does nothing while a retry is delayed.
     *
     * @param revision the last known revision of the entry; {@link StoreWrite#ABSENT} if it does not exist
     */
    void maintain(String value, long revision, Duration now) {
        if (now.compareTo(nextAttemptAt) < 0) {
            return;
        }
        if (lease == StoreWrite.NO_LEASE) {
            write(value, revision, now);
        } else if (now.minus(renewedAt).compareTo(timeToLive.dividedBy(3)) >= 0) {
            renew(now);
        }
    }

    /** Returns the last successful renewal; empty if this daemon has no lease for the entry. */
    Optional<Renewal> renewal() {
        return lease == StoreWrite.NO_LEASE ? Optional.empty() : Optional.of(new Renewal(lease, era, renewedAt));
    }

    private void renew(Duration now) {
        Either<Failure, Long> renewed = store.renewLease(lease);
        if (renewed.isRight() && renewed.get() != era) {
            // The store has come back from a copy. The lease may be that of another entry.
            lease = StoreWrite.NO_LEASE;
        } else if (renewed.isRight()) {
            renewedAt = now;
            backoff.reset();
        } else if (renewed.getLeft().kind() == ErrorKind.LEASE_EXPIRED) {
            lease = StoreWrite.NO_LEASE;
        } else {
            delayRetry(renewed.getLeft(), now);
        }
    }

    private void write(String value, long revision, Duration now) {
        Either<Failure, Long> granted = store.grantLease(timeToLive);
        granted.flatMap(number -> store.write(new StoreWrite(key, revision, value, number)))
                .peek(written -> {
                    lease = granted.get();
                    era = EraRevision.era(written);
                    renewedAt = now;
                    backoff.reset();
                })
                .peekLeft(failure -> delayRetry(failure, now));
    }

    private void delayRetry(Failure failure, Duration now) {
        nextAttemptAt = now.plus(backoff.nextDelay());
        LOG.debugf("[fleet] Could not write or renew the entry %s; retrying after a delay: %s", key, failure.detail());
    }

    /** Changes the value if this daemon has written the entry. The lease stays the same and is not renewed. */
    void replace(String value, long revision) {
        if (lease != StoreWrite.NO_LEASE) {
            store.write(new StoreWrite(key, revision, value, lease))
                    .peekLeft(failure -> LOG.warnf("[fleet] Could not update the entry %s: %s", key, failure.detail()));
        }
    }

    /** Removes the entry by revoking its lease, if this daemon has written it. */
    void remove() {
        if (lease != StoreWrite.NO_LEASE && era == store.era()) {
            store.revokeLease(lease)
                    .peekLeft(failure -> LOG.debugf(
                            "[fleet] Could not remove the entry %s, which now expires with its lease: %s",
                            key, failure.detail()));
        }
        lease = StoreWrite.NO_LEASE;
    }
}
