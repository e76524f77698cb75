package org.lavenderwick.core.audit;

import java.time.Duration;

/** What an append asks its caller to do. */
public sealed interface AuditAction {

    /**
     * Read the key.
     *
     * @param key the key
     */
    record Read(String key) implements AuditAction {}

    /**
     * Replace the value of the key if it still has the expected revision.
     *
     * @param key the key
     * @param value the new value
     * @param expectedRevision revision of the value that it replaces; 0 if the key does not exist
     */
    record Write(String key, String value, long expectedRevision) implements AuditAction {}

    /**
     * Call {@link AuditAppend#tick} at the given monotonic time.
     *
     * @param at the time
     */
    record WakeAt(Duration at) implements AuditAction {}

    /**
     * The entry is in the log.
     *
     * @param chunk number of its chunk, from which the next entry of the same day may start
     */
    record Appended(int chunk) implements AuditAction {}
}
