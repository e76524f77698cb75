package org.lavenderwick.core.audit;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.lavenderwick.core.time.Backoff;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

/**
 * Appends one entry to the audit log, exactly once: to the first chunk of its day with room, by compare-and-swap. After
 * a conflict or a lost answer the chunk is read again, and the id of the entry tells whether it is there already. A
 * chunk is left behind as full only after it was read, so an earlier write to it can no longer take effect.
 *
 * <p>At most one platform call waits for its answer. Confined to one thread.
 */
public final class AuditAppend {

    /** Revision of a key that does not exist. */
    private static final long ABSENT = 0;

    private enum Phase {
        IDLE,
        READING,
        WRITING,
        WAITING,
        DONE
    }

    private final String id;
    private final Instant when;
    private final String encoded;
    private final Backoff backoff;
    private int chunk;
    private Phase phase = Phase.IDLE;

    private AuditAppend(String id, Instant when, String encoded, int firstChunk, Backoff backoff) {
        this.id = id;
        this.when = when;
        this.encoded = encoded;
        this.chunk = firstChunk;
        this.backoff = backoff;
    }

    /**
     * Returns an append that has not started.
     *
     * @param id id of the entry, unique in the fleet, without spaces
     * @param when time of the change, which gives the day
     * @param encoded the entry as one line of text
     * @param firstChunk chunk to begin with; 0, or one known to be the last of the day
     * @param backoff delays between tries
     */
    public static AuditAppend create(String id, Instant when, String encoded, int firstChunk, Backoff backoff) {
        checkArgument(AuditChunk.EMPTY.with(id, encoded).isPresent(), "entry %s does not fit into a chunk", id);
        return new AuditAppend(id, when, encoded, firstChunk, backoff);
    }

    /** Begins. */
    public List<AuditAction> start() {
        checkState(phase == Phase.IDLE, "an append starts once");
        return read();
    }

    /** The chunk was read; the value is empty if its key does not exist. */
    public List<AuditAction> onChunkRead(Optional<String> value, long revision) {
        checkState(phase == Phase.READING, "no read was asked for");
        AuditChunk known = value.map(AuditChunk::new).orElse(AuditChunk.EMPTY);
        if (known.contains(id)) {
            return done();
        }
        Optional<AuditChunk> longer = known.with(id, encoded);
        if (longer.isEmpty()) {
            chunk++;
            return read();
        }
        phase = Phase.WRITING;
        return ImmutableList.of(
                new AuditAction.Write(key(), longer.get().text(), value.isPresent() ? revision : ABSENT));
    }

    /** The chunk was written. */
    public List<AuditAction> onChunkWritten() {
        checkState(phase == Phase.WRITING, "no write was asked for");
        return done();
    }

    /** The chunk has another revision, or the platform gave no answer: a write may have taken effect. */
    public List<AuditAction> onCallFailed(Duration now) {
        checkState(phase == Phase.READING || phase == Phase.WRITING, "no call was asked for");
        phase = Phase.WAITING;
        return ImmutableList.of(new AuditAction.WakeAt(now.plus(backoff.nextDelay())));
    }

    /** The time of the last {@link AuditAction.WakeAt} has come. */
    public List<AuditAction> tick() {
        return phase == Phase.WAITING ? read() : ImmutableList.of();
    }

    private List<AuditAction> read() {
        phase = Phase.READING;
        return ImmutableList.of(new AuditAction.Read(key()));
    }

    private List<AuditAction> done() {
        phase = Phase.DONE;
        return ImmutableList.of(new AuditAction.Appended(chunk));
    }

    private String key() {
        return AuditChunk.key(when, chunk);
    }
}
