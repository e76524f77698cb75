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
 * The state machine that appends one entry to the audit log exactly once. The entry is added by compare-and-swap to the
 * first chunk of its day that has room for it.
 *
 * <p>After a conflict or a lost response, the chunk is read again and searched for the id of the entry. The append
 * moves on to the next chunk only when a read shows that the chunk does not contain the entry and has no room for it.
 * An earlier write to that chunk can then no longer take effect, because its expected revision is outdated.
 *
 * <p>At most one platform call is pending at a time. Confined to one thread.
 */
public final class AuditAppend {

    /** Expected revision for a key that must not exist. */
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
     * Returns an append that has not been started.
     *
     * @param id id of the entry, unique in the fleet; must not contain spaces or newlines
     * @param when time of the change, which determines the day
     * @param encoded the entry, encoded as one line of text
     * @param firstChunk number of the chunk to try first: 0, or the last known chunk of the day
     * @param backoff delays between attempts
     */
    public static AuditAppend create(String id, Instant when, String encoded, int firstChunk, Backoff backoff) {
        checkArgument(AuditChunk.EMPTY.with(id, encoded).isPresent(), "entry %s exceeds the maximum chunk size", id);
        return new AuditAppend(id, when, encoded, firstChunk, backoff);
    }

    /** Starts the append. Called once. */
    public List<AuditAction> start() {
        checkState(phase == Phase.IDLE, "append was already started");
        return read();
    }

    /** Reports that the chunk was read. The value is empty if the key does not exist. */
    public List<AuditAction> onChunkRead(Optional<String> value, long revision) {
        checkState(phase == Phase.READING, "no read is pending");
        AuditChunk current = value.map(AuditChunk::new).orElse(AuditChunk.EMPTY);
        if (current.contains(id)) {
            return done();
        }
        Optional<AuditChunk> extended = current.with(id, encoded);
        if (extended.isEmpty()) {
            chunk++;
            return read();
        }
        phase = Phase.WRITING;
        return ImmutableList.of(
                new AuditAction.Write(key(), extended.get().text(), value.isPresent() ? revision : ABSENT));
    }

    /** Reports that the chunk was written. */
    public List<AuditAction> onChunkWritten() {
        checkState(phase == Phase.WRITING, "no write is pending");
        return done();
    }

    /**
     * Reports that a call failed, because the chunk has a different revision or no response arrived. In the second
     * case, a write may have taken effect.
     */
    public List<AuditAction> onCallFailed(Duration now) {
        checkState(phase == Phase.READING || phase == Phase.WRITING, "no call is pending");
        phase = Phase.WAITING;
        return ImmutableList.of(new AuditAction.WakeAt(now.plus(backoff.nextDelay())));
    }

    /** Reports that the time of the last {@link AuditAction.WakeAt} was reached. */
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
