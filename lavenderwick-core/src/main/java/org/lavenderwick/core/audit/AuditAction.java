package org.lavenderwick.core.audit;

import java.time.Duration;

/** An action that {@link AuditAppend} returns for its caller to perform. */
public sealed interface AuditAction {

    /**
     * Read of a platform key. Reported with {@link AuditAppend#onChunkRead} or {@link AuditAppend#onCallFailed}.
     *
     * @param key the key
     */
    record Read(String key) implements AuditAction {}

    /**
     * Write of a platform key by compare-and-swap. Reported with {@link AuditAppend#onChunkWritten} or
     * {@link AuditAppend#onCallFailed}.
     *
     * @param key the key
     * @param value the new value
     * @param expectedRevision revision that the key must have for the write to succeed; 0 if the key must not exist
     */
    record Write(String key, String value, long expectedRevision) implements AuditAction {}

    /**
     * Timer that calls {@link AuditAppend#tick} at the given time.
     *
     * @param at the time on the monotonic clock
     */
    record WakeAt(Duration at) implements AuditAction {}

    /**
     * End of the append: the entry is stored in the log.
     *
     * @param chunk number of the chunk that contains the entry; the next append of the same day can start with it
     */
    record Appended(int chunk) implements AuditAction {}
}
