package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.Optional;

import io.vavr.control.Either;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.EraRevision;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreWrite;

/**
 * The lock of the failovers of one group: a store entry under a lease. The revision of the entry is the fencing token
 * of the failover. Confined to one thread.
 */
final class FailoverLock {

    private final GroupName group;
    private final FleetStore store;
    private final Duration timeToLive;
    private long lease;
    private long fencingToken;
    private Duration renewedAt = Duration.ZERO;

    FailoverLock(GroupName group, FleetStore store, Duration timeToLive) {
        this.group = group;
        this.store = store;
        this.timeToLive = timeToLive;
    }

    /** Tries to acquire the lock and returns the fencing token. Fails if another daemon holds the lock. */
    Either<Failure, Long> acquire(EndpointName suspect, Duration now) {
        return store.grantLease(timeToLive)
                .flatMap(granted -> {
                    lease = granted;
                    return store.write(
                            new StoreWrite(FailoverRun.lockKey(group), StoreWrite.ABSENT, suspect.value(), granted));
                })
                .peek(revision -> {
                    renewedAt = now;
                    fencingToken = revision;
                });
    }

    /** Renews the lock when due. Returns why it is lost, once another daemon may hold it; empty until then. */
    Optional<String> renewIfDue(Duration now) {
        Duration age = now.minus(renewedAt);
        if (age.compareTo(timeToLive.dividedBy(3)) < 0) {
            return Optional.empty();
        }
        Either<Failure, Long> renewed = store.renewLease(lease);
        if (renewed.contains(EraRevision.era(fencingToken))) {
            renewedAt = now;
            return Optional.empty();
        }
        // In a later era of the store, the lease may be that of another entry.
        boolean lost = renewed.isRight() || renewed.getLeft().kind() == ErrorKind.LEASE_EXPIRED;
        return lost || age.compareTo(timeToLive.dividedBy(2)) > 0
                ? Optional.of("the failover lock was lost: "
                        + renewed.fold(Failure::detail, era -> "the store is in era " + era))
                : Optional.empty();
    }

    /** Releases the lock for another daemon; if the call fails, the lock expires soon. */
    void release() {
        store.revokeLease(lease);
    }

    long fencingToken() {
        return fencingToken;
    }

    /** Returns the lease under which the lock is held. */
    long lease() {
        return lease;
    }
}
