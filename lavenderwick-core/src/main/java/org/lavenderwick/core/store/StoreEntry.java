package org.lavenderwick.core.store;

/**
 * A fleet entry, that is, an entry that the daemons write to the store.
 *
 * @param key the key, without the key prefix of the fleet
 * @param value the text value
 * @param revision the revision of the store that the last write of the entry created
 */
public record StoreEntry(String key, String value, long revision) {}
