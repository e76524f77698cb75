package org.lavenderwick.daemon.group;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import org.lavenderwick.adapters.json.JsonMappers;
import org.lavenderwick.adapters.platform.PlatformPort;
import org.lavenderwick.adapters.platform.VersionedValue;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.Term;
import org.lavenderwick.core.promotion.GroupRecord;
import org.lavenderwick.core.promotion.GroupState;
import org.lavenderwick.core.promotion.TermStart;

/**
 * Store of the group records on the platform. Thread-safe. Returned futures never complete exceptionally; failed calls
 * complete them with a {@link Failure}.
 */
public final class GroupRecords {
    private static final String PREFIX = "groups/";

    private final PlatformPort platform;
    private final JsonMapper mapper = JsonMappers.create();

    private GroupRecords(PlatformPort platform) {
        this.platform = platform;
    }

    /** Returns a store that keeps the records on the given platform. */
    public static GroupRecords on(PlatformPort platform) {
        return new GroupRecords(platform);
    }

    /**
     * Group record with the revision of its key on the platform.
     *
     * @param record the group record
     * @param revision revision to pass to {@link #write} to replace this record
     */
    public record Versioned(GroupRecord record, long revision) {}

    /** Reads the record of a group; empty if the group has none yet. */
    public CompletableFuture<Either<Failure, Optional<Versioned>>> read(GroupName group) {
        return platform.read(PREFIX + group).thenApply(response -> response.flatMap(this::parse));
    }

    /**
     * Reads the record of a group. If there is none yet, writes one in which the first endpoint of the group is the
     * primary of term 1.
     *
     * @param group settings of the group
     * @param operationId operation id of a record written by this call
     */
    public CompletableFuture<Either<Failure, Versioned>> readOrCreate(GroupSettings group, String operationId) {
        return read(group.name()).thenCompose(response -> {
            if (response.isLeft()) {
                return CompletableFuture.completedFuture(Either.left(response.getLeft()));
            }
            if (response.get().isPresent()) {
                return CompletableFuture.completedFuture(
                        Either.right(response.get().get()));
            }
            GroupRecord first = new GroupRecord(
                    Term.of(1),
                    group.endpoints().get(0).name(),
                    GroupState.OPEN,
                    List.of(new TermStart(Term.of(1), 0)),
                    0,
                    operationId,
                    false,
                    Optional.empty());
            return write(group.name(), first, PlatformPort.ABSENT)
                    .thenApply(written -> written.map(revision -> new Versioned(first, revision)));
        });
    }

    /** Writes a record if its key still has the expected revision. The future holds the new revision. */
    public CompletableFuture<Either<Failure, Long>> write(GroupName group, GroupRecord record, long expectedRevision) {
        try {
            return platform.compareAndSwap(PREFIX + group, mapper.writeValueAsString(record), expectedRevision);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a group record as JSON", e);
        }
    }

    private Either<Failure, Optional<Versioned>> parse(Optional<VersionedValue> value) {
        if (value.isEmpty()) {
            return Either.right(Optional.empty());
        }
        try {
            GroupRecord record = mapper.readValue(value.get().value(), GroupRecord.class);
            return Either.right(Optional.of(new Versioned(record, value.get().revision())));
        } catch (JsonProcessingException e) {
            return Either.left(Failure.of(
                    ErrorKind.PLATFORM_UNAVAILABLE, "A group record cannot be read: " + e.getOriginalMessage()));
        }
    }
}
