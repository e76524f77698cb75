package org.lavenderwick.adapters.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import org.lavenderwick.core.error.Failure;

/**
 * The platform's key-value service. Each call completes with a failure of kind {@code PLATFORM_UNAVAILABLE} when no
 * answer came in time; a write may then have taken effect. Futures never complete exceptionally.
 */
public interface PlatformPort extends AutoCloseable {

    /** Largest value the platform holds, in bytes. */
    int MAX_VALUE_BYTES = 1_000_000;

    /** Expected revision of a key that does not exist yet. */
    long ABSENT = 0;

    /** Reads the newest value of a key; empty if the key does not exist. */
    CompletableFuture<Either<Failure, Optional<VersionedValue>>> read(String key);

    /**
     * Writes a value if the key still has the expected revision, and returns the new revision. Fails with
     * {@code VERSION_CONFLICT} if it does not.
     */
    CompletableFuture<Either<Failure, Long>> compareAndSwap(String key, String value, long expectedRevision);

    /** Waits until the key has a revision above the given one; empty when the wait ends without a change. */
    CompletableFuture<Either<Failure, Optional<VersionedValue>>> watch(String key, long afterRevision, Duration wait);

    /** Lists keys with the given prefix in ascending order. */
    CompletableFuture<Either<Failure, List<String>>> list(String prefix);

    /** Acquires a lease that nobody else holds; fails with {@code VERSION_CONFLICT} if another holder has it. */
    CompletableFuture<Either<Failure, Lease>> acquireLease(String name, String holder, Duration ttl);

    /** Extends a lease by its time to live; fails with {@code VERSION_CONFLICT} if it has lapsed. */
    CompletableFuture<Either<Failure, Lease>> renewLease(Lease lease);

    /** Gives a lease back. */
    CompletableFuture<Either<Failure, Boolean>> releaseLease(Lease lease);

    /** Reads the lagging list of live and leaving hosts. */
    CompletableFuture<Either<Failure, List<HostEntry>>> hosts();

    @Override
    void close();
}
