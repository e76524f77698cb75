package org.lavenderwick.core.store;

import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.model.EndpointName;

/** One change in the store, decoded. */
public sealed interface StoreChange {

    /** The operators' configuration has a new version. */
    record CatalogChanged(Catalog catalog) implements StoreChange {}

    /** An endpoint registered itself or changed its entry. */
    record EndpointChanged(EndpointEntry entry) implements StoreChange {}

    /** An endpoint has no entry any more. */
    record EndpointRemoved(EndpointName name) implements StoreChange {}

    /** The entry of an endpoint cannot be used, so it names no endpoint. */
    record EndpointUnusable(EndpointName name, String reason) implements StoreChange {}

    /** An entry of the fleet was written. */
    record EntryChanged(StoreEntry entry) implements StoreChange {}

    /** An entry of the fleet was removed. */
    record EntryRemoved(String key) implements StoreChange {}

    /** An entry cannot be decoded and is ignored. */
    record Undecodable(String key, String reason) implements StoreChange {}
}
