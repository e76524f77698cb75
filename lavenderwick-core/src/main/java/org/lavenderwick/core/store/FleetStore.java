package org.lavenderwick.core.store;

import java.time.Duration;
import java.util.Optional;

import io.vavr.control.Either;
import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;

/**
 * The store of the configuration, the endpoint directory and the fleet entries, which are the entries that the daemons
 * themselves write. Each call blocks until the store responds or the call times out. A call that fails with
 * {@code PLATFORM_UNAVAILABLE} may have taken effect, or may still do so later if its condition holds then.
 *
 * <p>The store may come back from a copy in a new era, without what was written since. All revisions are therefore
 * qualified by their era, see {@link EraRevision}; lease IDs are not, and may be given out again.
 */
public interface FleetStore {

    /** Reads the entire content, as the changes from an empty store. */
    Either<Failure, StoreChanges> load();

    /**
     * Waits for changes after a revision and returns them; returns none if there is no change within the given time.
     * Fails with {@code HISTORY_UNAVAILABLE} if the store no longer has all changes since the revision, or never had
     * it in its present era.
     */
    Either<Failure, StoreChanges> awaitChanges(long afterRevision, Duration wait);

    /** Decodes a change that another daemon forwarded; empty if the text does not encode a change. */
    Optional<StoreChange> decode(String encoded);

    /** Reads the newest revision of a fleet entry; empty if the entry does not exist. */
    Either<Failure, Optional<StoreEntry>> read(String key);

    /** Reads the newest configuration; empty if there is none, or only an invalid one. */
    Either<Failure, Optional<Catalog>> readCatalog();

    /** Reads the newest registration of an endpoint; empty if there is none, or only an invalid one. */
    Either<Failure, Optional<StoreChange.EndpointChanged>> readEndpoint(EndpointName name);

    /**
     * Writes a fleet entry and returns its new revision. Fails with {@code VERSION_CONFLICT} if the entry does not have
     * the expected revision or the store is in a later era, and with {@code LEASE_EXPIRED} if the lease has expired or
     * was revoked.
     */
    Either<Failure, Long> write(StoreWrite write);

    /** Grants a lease with the given time to live and returns its ID. */
    Either<Failure, Long> grantLease(Duration timeToLive);

    /**
     * Renews a lease and returns the era in which the store renewed it: in an era after that of its grant, the ID may
     * belong to another lease. Fails with {@code LEASE_EXPIRED} if it has expired or was revoked.
     */
    Either<Failure, Long> renewLease(long lease);

    /** Revokes a lease and returns its ID. Succeeds as well if the lease has already expired or was revoked. */
    Either<Failure, Long> revokeLease(long lease);

    /** Returns the newest era in which the store has responded, {@link EraRevision#FIRST_ERA} before that. */
    long era();
}
