package org.lavenderwick.core.store;

import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.model.EndpointName;

/** One change in the store, decoded. */
public sealed interface StoreChange {

    /** First parts of subjects. */
    String ENDPOINT_PREFIX = "endpoint/";

    String ENTRY_PREFIX = "entry/";

    String UNDECODABLE_PREFIX = "undecodable/";

    /** Returns what the change is about; a later change with the same subject replaces it. */
    String subject();

    /** The operators' configuration has a new version. */
    record CatalogChanged(Catalog catalog) implements StoreChange {

        @Override
        public String subject() {
            return "catalog";
        }
    }

    /** An endpoint registered itself or changed its entry. */
    record EndpointChanged(EndpointEntry entry) implements StoreChange {

        @Override
        public String subject() {
            return ENDPOINT_PREFIX + entry.name().value();
        }
    }

    /** An endpoint has no entry any more. */
    record EndpointRemoved(EndpointName name) implements StoreChange {

        @Override
        public String subject() {
            return ENDPOINT_PREFIX + name.value();
        }
    }

    /** The entry of an endpoint cannot be used, so it names no endpoint. */
    record EndpointUnusable(EndpointName name, String reason) implements StoreChange {

        @Override
        public String subject() {
            return ENDPOINT_PREFIX + name.value();
        }
    }

    /** An entry of the fleet was written. */
    record EntryChanged(StoreEntry entry) implements StoreChange {

        @Override
        public String subject() {
            return ENTRY_PREFIX + entry.key();
        }
    }

    /** An entry of the fleet was removed. */
    record EntryRemoved(String key) implements StoreChange {

        @Override
        public String subject() {
            return ENTRY_PREFIX + key;
        }
    }

    /** An entry cannot be decoded and is ignored. */
    record Undecodable(String key, String reason) implements StoreChange {

        @Override
        public String subject() {
            return UNDECODABLE_PREFIX + key;
        }
    }
}
