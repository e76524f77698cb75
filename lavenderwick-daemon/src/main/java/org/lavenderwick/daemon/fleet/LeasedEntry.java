package org.lavenderwick.daemon.fleet;

import java.time.Duration;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreWrite;
import org.lavenderwick.core.time.Backoff;

/** An entry of this daemon that ends with its lease, and so disappears when the daemon does. Confined to one thread. */
final class LeasedEntry {

    /** Bounds of the pause after a failed call: a few tries within the life of a lease, as each call is billed. */
    private static final Duration FIRST_PAUSE = Duration.ofMillis(300);

    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(2);

    private static final Logger LOG = Logger.getLogger(LeasedEntry.class);

    private final FleetStore store;
    private final String key;
    private final Duration timeToLive;
    private final Backoff backoff;
    private long lease = StoreWrite.NO_LEASE;
    private Duration renewedAt;
    private Duration notBefore = Duration.ofSeconds(Long.MIN_VALUE);

    LeasedEntry(FleetStore store, String key, Duration timeToLive, RandomGenerator random) {
        this.store = store;
        this.key = key;
        this.timeToLive = timeToLive;
        this.backoff = Backoff.create(FIRST_PAUSE, LONGEST_PAUSE, random);
    }

    /**
     * Writes the entry if it does not stand, and renews its lease when a third of its time has passed.
     *
     * @param revision the revision at which the entry was last seen; {@link StoreWrite#ABSENT} if it does not exist
     */
    void keep(String value, long revision, Duration now) {
        if (now.compareTo(notBefore) < 0) {
            return;
        }
        if (lease == StoreWrite.NO_LEASE) {
            write(value, revision, now);
        } else if (now.minus(renewedAt).compareTo(timeToLive.dividedBy(3)) >= 0) {
            renew(now);
        }
    }

    private void renew(Duration now) {
        Either<Failure, Long> renewed = store.renewLease(lease);
        if (renewed.isRight()) {
            renewedAt = now;
            backoff.reset();
        } else if (renewed.getLeft().kind() == ErrorKind.LEASE_EXPIRED) {
            lease = StoreWrite.NO_LEASE;
        } else {
            pause(renewed.getLeft(), now);
        }
    }

    private void write(String value, long revision, Duration now) {
        Either<Failure, Long> granted = store.grantLease(timeToLive);
        granted.flatMap(number -> store.write(new StoreWrite(key, revision, value, number)))
                .peek(written -> {
                    lease = granted.get();
                    renewedAt = now;
                    backoff.reset();
                })
                .peekLeft(failure -> pause(failure, now));
    }

    private void pause(Failure failure, Duration now) {
        notBefore = now.plus(backoff.nextDelay());
        LOG.debugf("[fleet] The entry %s was not kept: %s", key, failure.detail());
    }

    /** Changes the value for the rest of the lease, if this daemon has written the entry. */
    void replace(String value, long revision) {
        if (lease != StoreWrite.NO_LEASE) {
            store.write(new StoreWrite(key, revision, value, lease))
                    .peekLeft(failure -> LOG.warnf("[fleet] The entry %s was not changed: %s", key, failure.detail()));
        }
    }

    /** Removes the entry, if this daemon has written it. */
    void remove() {
        if (lease != StoreWrite.NO_LEASE) {
            store.revokeLease(lease)
                    .peekLeft(failure ->
                            LOG.debugf("[fleet] The entry %s ends with its lease: %s", key, failure.detail()));
            lease = StoreWrite.NO_LEASE;
        }
    }
}
