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

/** Reads and writes the group records on the platform. Thread-safe; futures never complete exceptionally. */
public final class GroupRecords {
    private static final String PREFIX = "groups/";

    private final PlatformPort platform;
    private final JsonMapper mapper = JsonMappers.create();

    private GroupRecords(PlatformPort platform) {
        this.platform = platform;
    }

    /** Returns the records on the given platform. */
    public static GroupRecords on(PlatformPort platform) {
        return new GroupRecords(platform);
    }

    /**
     * A record and its revision.
     *
     * @param record the record
     * @param revision revision of its key
     */
    public record Versioned(GroupRecord record, long revision) {}

    /** Reads a record; empty if the group has none yet. */
    public CompletableFuture<Either<Failure, Optional<Versioned>>> read(GroupName group) {
        return platform.read(PREFIX + group).thenApply(answer -> answer.flatMap(this::parse));
    }

    /** Reads a record. If the group has none yet, writes one in which its first endpoint is primary of term 1. */
    public CompletableFuture<Either<Failure, Versioned>> readOrCreate(GroupSettings group, String operationId) {
        return read(group.name()).thenCompose(answer -> {
            if (answer.isLeft()) {
                return CompletableFuture.completedFuture(Either.left(answer.getLeft()));
            }
            if (answer.get().isPresent()) {
                return CompletableFuture.completedFuture(
                        Either.right(answer.get().get()));
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

    /** Writes a record if its key still has the expected revision, and returns the new revision. */
    public CompletableFuture<Either<Failure, Long>> write(GroupName group, GroupRecord record, long expectedRevision) {
        try {
            return platform.compareAndSwap(PREFIX + group, mapper.writeValueAsString(record), expectedRevision);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a group record cannot be written", e);
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
