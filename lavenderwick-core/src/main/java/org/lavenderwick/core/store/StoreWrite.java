package org.lavenderwick.core.store;

/**
 * A conditional write of one fleet entry.
 *
 * @param key the key, without the key prefix of the fleet
 * @param expectedRevision the revision that the entry must have; {@link #ABSENT} if it must not exist
 * @param value the new value
 * @param lease the ID of the lease at whose end the store deletes the entry; {@link #NO_LEASE} for none
 */
public record StoreWrite(String key, long expectedRevision, String value, long lease) {

    /** Expected revision of an entry that must not exist yet. */
    public static final long ABSENT = 0;

    /** Lease ID of an entry without a lease. */
    public static final long NO_LEASE = 0;
}
