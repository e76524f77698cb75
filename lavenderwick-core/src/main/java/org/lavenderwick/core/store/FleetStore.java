package org.lavenderwick.core.store;

import java.time.Duration;
import java.util.Optional;

import io.vavr.control.Either;
import org.lavenderwick.core.error.Failure;

/**
 * The store that holds the configuration, the directory of endpoints and the entries of the fleet. Each call blocks
 * until it is answered or times out. A call that fails with {@code PLATFORM_UNAVAILABLE} may have taken effect, and may
 * still do so later if its condition holds.
 */
public interface FleetStore {

    /** Reads everything, as changes from nothing. */
    Either<Failure, StoreChanges> load();

    /**
     * Waits for changes after a revision; none if the wait ends first. Fails with {@code HISTORY_UNAVAILABLE} if the
     * store does not hold the changes any more.
     */
    Either<Failure, StoreChanges> awaitChanges(long afterRevision, Duration wait);

    /** Decodes a change as another daemon passes it on; empty if it is none. */
    Optional<StoreChange> decode(String encoded);

    /** Reads an entry of the fleet at its newest revision. */
    Either<Failure, Optional<StoreEntry>> read(String key);

    /**
     * Writes an entry and returns its revision. Fails with {@code VERSION_CONFLICT} if the entry has another revision,
     * and with {@code LEASE_EXPIRED} if the lease has ended.
     */
    Either<Failure, Long> write(StoreWrite write);

    /** Grants a lease with the given time to live and returns its number. */
    Either<Failure, Long> grantLease(Duration timeToLive);

    /** Renews a lease; fails with {@code LEASE_EXPIRED} if it has ended. */
    Either<Failure, Long> renewLease(long lease);

    /** Ends a lease; succeeds also if it had ended before. */
    Either<Failure, Long> revokeLease(long lease);
}
