package org.lavenderwick.core.audit;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.time.Backoff;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class AuditAppendTest {

    private static final Instant WHEN = Instant.parse("2026-12-03T23:59:59Z");
    private static final Duration NOW = Duration.ofSeconds(1);

    private final Map<String, String> values = new TreeMap<>();
    private final Map<String, Long> revisions = new HashMap<>();

    private static AuditAppend append(String id, String encoded) {
        return AuditAppend.create(
                id, WHEN, encoded, 0, Backoff.create(Duration.ofMillis(10), Duration.ofMillis(100), new Random(1)));
    }

    private boolean write(AuditAction.Write write) {
        if (revisions.getOrDefault(write.key(), 0L) != write.expectedRevision()) {
            return false;
        }
        values.put(write.key(), write.value());
        revisions.merge(write.key(), 1L, Long::sum);
        return true;
    }

    private List<AuditAction> read(AuditAppend append, AuditAction.Read read) {
        return append.onChunkRead(Optional.ofNullable(values.get(read.key())), revisions.getOrDefault(read.key(), 0L));
    }

    private List<String> entries() {
        return values.values().stream()
                .flatMap(text -> new AuditChunk(text).encodedEntries().stream())
                .toList();
    }

    /** Guards against chunks above the size limit, lost entries and a day computed in the local time zone. */
    @Test
    void fillsChunksOfTheDayInUtcUpToTheLimit() {
        String encoded = "x".repeat(100 * 1024);
        for (int i = 0; i < 5; i++) {
            AuditAppend append = append("id" + i, encoded);
            Deque<AuditAction> actions = new ArrayDeque<>(append.start());
            while (!(actions.peek() instanceof AuditAction.Appended)) {
                AuditAction action = actions.remove();
                if (action instanceof AuditAction.Read read) {
                    actions.addAll(read(append, read));
                } else if (action instanceof AuditAction.Write write) {
                    assertThat(write(write)).isTrue();
                    actions.addAll(append.onChunkWritten());
                }
            }
        }
        assertThat(values.keySet())
                .containsExactly("audit/2026-12-03/0000", "audit/2026-12-03/0001", "audit/2026-12-03/0002");
        assertThat(values.values()).allMatch(text -> text.length() <= AuditChunk.MAX_BYTES);
        assertThat(entries()).hasSize(5);
    }

    /** Guards against matching an id that is a prefix or suffix of another id, or that occurs within an entry. */
    @Test
    void matchesOnlyCompleteIds() {
        AuditChunk chunk = AuditChunk.EMPTY.with("daemon-12", "a daemon-3 b").orElseThrow();
        assertThat(chunk.contains("daemon-12")).isTrue();
        assertThat(chunk.contains("daemon-1")).isFalse();
        assertThat(chunk.contains("12")).isFalse();
        assertThat(chunk.contains("daemon-3")).isFalse();
    }

    /** Guards against an entry that is too large to be stored and would be retried forever. */
    @Test
    void rejectsAnEntryLargerThanAChunk() {
        assertThatThrownBy(() -> append("id", "x".repeat(AuditChunk.MAX_BYTES)))
                .isInstanceOf(IllegalArgumentException.class);
    }

    /**
     * Guards against duplicate or lost entries when several writers race, calls are lost before or after they take
     * effect, and writes take effect late.
     */
    @Property(tries = 200, seed = "20261204")
    void storesEachEntryOnce(@ForAll long seed) {
        Random random = new Random(seed);
        values.clear();
        revisions.clear();
        List<AuditAppend> appends = new ArrayList<>();
        List<Deque<AuditAction>> pendingActions = new ArrayList<>();
        List<AuditAction.Write> delayedWrites = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            appends.add(append("id" + i, i + "x".repeat(90_000)));
            pendingActions.add(new ArrayDeque<>(appends.get(i).start()));
        }
        for (int step = 0; pendingActions.stream().anyMatch(actions -> !actions.isEmpty()); step++) {
            assertThat(step).as("steps of seed %s", seed).isLessThan(10_000);
            int i = random.nextInt(appends.size());
            if (!pendingActions.get(i).isEmpty()) {
                perform(appends.get(i), pendingActions.get(i), delayedWrites, random);
            }
            if (!delayedWrites.isEmpty() && random.nextInt(4) == 0) {
                write(delayedWrites.remove(random.nextInt(delayedWrites.size())));
            }
        }
        delayedWrites.forEach(this::write);
        assertThat(entries()).hasSize(6).doesNotHaveDuplicates();
    }

    private void perform(
            AuditAppend append,
            Deque<AuditAction> pendingActions,
            List<AuditAction.Write> delayedWrites,
            Random random) {
        AuditAction action = pendingActions.remove();
        int fault = random.nextInt(6);
        if (action instanceof AuditAction.Read read) {
            pendingActions.addAll(fault == 0 ? append.onCallFailed(NOW) : read(append, read));
        } else if (action instanceof AuditAction.Write write) {
            if (fault == 0) {
                delayedWrites.add(write);
                pendingActions.addAll(append.onCallFailed(NOW));
            } else {
                boolean written = write(write);
                pendingActions.addAll(written && fault != 1 ? append.onChunkWritten() : append.onCallFailed(NOW));
            }
        } else if (action instanceof AuditAction.WakeAt) {
            pendingActions.addAll(append.tick());
        }
    }
}
