package org.lavenderwick.core.store;

/**
 * An entry that the daemons keep in the store.
 *
 * @param key the key, without the prefix of the fleet
 * @param value the value
 * @param revision the revision of the store at which the entry was last written
 */
public record StoreEntry(String key, String value, long revision) {}
