package org.lavenderwick.daemon.fleet;

import java.time.Duration;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreWrite;

/** An entry of this daemon that ends with its lease, and so disappears when the daemon does. Confined to one thread. */
final class LeasedEntry {

    private static final Logger LOG = Logger.getLogger(LeasedEntry.class);

    private final FleetStore store;
    private final String key;
    private final Duration timeToLive;
    private long lease = StoreWrite.NO_LEASE;
    private Duration renewedAt;

    LeasedEntry(FleetStore store, String key, Duration timeToLive) {
        this.store = store;
        this.key = key;
        this.timeToLive = timeToLive;
    }

    /**
     * Writes the entry if it does not stand, and renews its lease when a third of its time has passed.
     *
     * @param revision the revision at which the entry was last seen; {@link StoreWrite#ABSENT} if it does not exist
     */
    void keep(String value, long revision, Duration now) {
        if (lease == StoreWrite.NO_LEASE) {
            write(value, revision, now);
        } else if (now.minus(renewedAt).compareTo(timeToLive.dividedBy(3)) >= 0) {
            Either<Failure, Long> renewed = store.renewLease(lease);
            if (renewed.isRight()) {
                renewedAt = now;
            } else if (renewed.getLeft().kind() == ErrorKind.LEASE_EXPIRED) {
                lease = StoreWrite.NO_LEASE;
            }
        }
    }

    private void write(String value, long revision, Duration now) {
        Either<Failure, Long> granted = store.grantLease(timeToLive);
        granted.flatMap(number -> store.write(new StoreWrite(key, revision, value, number)))
                .peek(written -> {
                    lease = granted.get();
                    renewedAt = now;
                })
                .peekLeft(failure -> LOG.debugf("[fleet] The entry %s was not written: %s", key, failure.detail()));
    }

    /** Removes the entry, if this daemon has written it. */
    void remove() {
        if (lease != StoreWrite.NO_LEASE) {
            store.endLease(lease);
            lease = StoreWrite.NO_LEASE;
        }
    }
}
