package org.lavenderwick.core.store;

/**
 * A conditional write of one entry.
 *
 * @param key the key, without the prefix of the fleet
 * @param expectedRevision the revision that the entry must still have; {@link #ABSENT} if it must not exist
 * @param value the new value
 * @param lease the lease with which the entry ends; {@link #NO_LEASE} for none
 */
public record StoreWrite(String key, long expectedRevision, String value, long lease) {

    /** Expected revision of an entry that must not exist. */
    public static final long ABSENT = 0;

    /** Stands for no lease. */
    public static final long NO_LEASE = 0;
}
