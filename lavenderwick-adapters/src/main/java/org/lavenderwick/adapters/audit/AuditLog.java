package org.lavenderwick.adapters.audit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;
import org.lavenderwick.adapters.json.JsonMappers;
import org.lavenderwick.adapters.platform.PlatformPort;
import org.lavenderwick.adapters.platform.VersionedValue;
import org.lavenderwick.core.audit.AuditAction;
import org.lavenderwick.core.audit.AuditAppend;
import org.lavenderwick.core.audit.AuditChunk;
import org.lavenderwick.core.audit.AuditEntry;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.time.Backoff;
import org.lavenderwick.core.time.MonotonicClock;

/**
 * Appends entries to the audit log and reads them. An entry is one line of JSON. Thread-safe; the work of an append
 * runs on the given executor, which must have one thread.
 */
public final class AuditLog {

    private static final Duration FIRST_DELAY = Duration.ofMillis(200);
    private static final Duration LONGEST_DELAY = Duration.ofSeconds(5);

    private final PlatformPort platform;
    private final ScheduledExecutorService executor;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    private final JsonMapper mapper = JsonMappers.create();

    private AuditLog(
            PlatformPort platform, ScheduledExecutorService executor, MonotonicClock clock, RandomGenerator random) {
        this.platform = platform;
        this.executor = executor;
        this.clock = clock;
        this.random = random;
    }

    /** Returns the log on the given platform. */
    public static AuditLog create(
            PlatformPort platform, ScheduledExecutorService executor, MonotonicClock clock, RandomGenerator random) {
        return new AuditLog(platform, executor, clock, random);
    }

    /**
     * Appends an entry exactly once, and returns the number of its chunk. Tries again until the time is over; then the
     * failure is {@code PLATFORM_UNAVAILABLE} and the entry may be in the log. Never completes exceptionally.
     */
    public CompletableFuture<Either<Failure, Integer>> append(AuditEntry entry, Duration time) {
        CompletableFuture<Either<Failure, Integer>> result = new CompletableFuture<>();
        AuditAppend append = AuditAppend.create(
                UUID.randomUUID().toString(),
                entry.when(),
                encode(entry),
                0,
                Backoff.create(FIRST_DELAY, LONGEST_DELAY, random));
        Run run = new Run(append, clock.now().plus(time), result);
        executor.execute(() -> run.perform(append.start()));
        return result;
    }

    /** Returns the entries of the day of the given time, in UTC, oldest first. */
    public CompletableFuture<Either<Failure, List<AuditEntry>>> entriesOf(Instant day) {
        return platform.list(AuditChunk.prefix(day))
                .thenCompose(keys -> keys.isLeft()
                        ? CompletableFuture.completedFuture(Either.left(keys.getLeft()))
                        : readChunks(keys.get(), 0, new ArrayList<>()));
    }

    private CompletableFuture<Either<Failure, List<AuditEntry>>> readChunks(
            List<String> keys, int index, List<AuditEntry> entries) {
        if (index == keys.size()) {
            return CompletableFuture.completedFuture(Either.right(ImmutableList.copyOf(entries)));
        }
        return platform.read(keys.get(index)).thenCompose(value -> {
            if (value.isLeft()) {
                return CompletableFuture.completedFuture(Either.left(value.getLeft()));
            }
            String text = value.get().map(VersionedValue::value).orElse("");
            for (String encoded : new AuditChunk(text).encodedEntries()) {
                Optional<AuditEntry> entry = decode(encoded);
                if (entry.isEmpty()) {
                    return CompletableFuture.completedFuture(Either.left(Failure.of(
                            ErrorKind.INTERNAL_ERROR, "The key " + keys.get(index) + " holds a malformed entry.")));
                }
                entries.add(entry.get());
            }
            return readChunks(keys, index + 1, entries);
        });
    }

    private String encode(AuditEntry entry) {
        try {
            return mapper.writeValueAsString(entry);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("an audit entry has no JSON form", e);
        }
    }

    private Optional<AuditEntry> decode(String encoded) {
        try {
            return Optional.of(mapper.readValue(encoded, AuditEntry.class));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }

    /** One append in progress. Confined to the executor. */
    private final class Run {

        private final AuditAppend append;
        private final Duration deadline;
        private final CompletableFuture<Either<Failure, Integer>> result;

        private Run(AuditAppend append, Duration deadline, CompletableFuture<Either<Failure, Integer>> result) {
            this.append = append;
            this.deadline = deadline;
            this.result = result;
        }

        private void perform(List<AuditAction> actions) {
            for (AuditAction action : actions) {
                if (action instanceof AuditAction.Read read) {
                    platform.read(read.key()).thenAcceptAsync(this::onRead, executor);
                } else if (action instanceof AuditAction.Write write) {
                    platform.compareAndSwap(write.key(), write.value(), write.expectedRevision())
                            .thenAcceptAsync(this::onWrite, executor);
                } else if (action instanceof AuditAction.WakeAt wake) {
                    wakeAt(wake.at());
                } else if (action instanceof AuditAction.Appended appended) {
                    result.complete(Either.right(appended.chunk()));
                }
            }
        }

        private void onRead(Either<Failure, Optional<VersionedValue>> answer) {
            perform(
                    answer.isLeft()
                            ? append.onCallFailed(clock.now())
                            : append.onChunkRead(
                                    answer.get().map(VersionedValue::value),
                                    answer.get().map(VersionedValue::revision).orElse(PlatformPort.ABSENT)));
        }

        private void onWrite(Either<Failure, Long> answer) {
            perform(answer.isLeft() ? append.onCallFailed(clock.now()) : append.onChunkWritten());
        }

        private void wakeAt(Duration at) {
            if (at.compareTo(deadline) > 0) {
                result.complete(Either.left(
                        Failure.of(ErrorKind.PLATFORM_UNAVAILABLE, "The audit entry was not written in time.")));
                return;
            }
            long delay = Math.max(0, at.minus(clock.now()).toNanos());
            executor.schedule(() -> perform(append.tick()), delay, TimeUnit.NANOSECONDS);
        }
    }
}
