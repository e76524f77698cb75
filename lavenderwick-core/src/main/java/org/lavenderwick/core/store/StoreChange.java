package org.lavenderwick.core.store;

import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.catalog.RegistrationVersion;
import org.lavenderwick.core.model.EndpointName;

/** A decoded change in the store. */
public sealed interface StoreChange {

    /** Prefix of the subjects of endpoint changes. */
    String ENDPOINT_PREFIX = "endpoint/";

    /** Prefix of the subjects of fleet entry changes. */
    String ENTRY_PREFIX = "entry/";

    /** Prefix of the subjects of entries that cannot be decoded. */
    String UNDECODABLE_PREFIX = "undecodable/";

    /** Returns the key of the changed object. A change supersedes all earlier changes with the same subject. */
    String subject();

    /** The operators' configuration has a new version. */
    record CatalogChanged(Catalog catalog) implements StoreChange {

        @Override
        public String subject() {
            return "catalog";
        }
    }

    /** An endpoint was registered or its entry has changed. */
    record EndpointChanged(EndpointEntry entry, RegistrationVersion version) implements StoreChange {

        /** Creates a change whose version is unknown. */
        public EndpointChanged(EndpointEntry entry) {
            this(entry, RegistrationVersion.UNKNOWN);
        }

        @Override
        public String subject() {
            return ENDPOINT_PREFIX + entry.name().value();
        }
    }

    /** The entry of an endpoint was removed. */
    record EndpointRemoved(EndpointName name) implements StoreChange {

        @Override
        public String subject() {
            return ENDPOINT_PREFIX + name.value();
        }
    }

    /** The entry of an endpoint is invalid; the endpoint is treated as absent. */
    record EndpointUnusable(EndpointName name, String reason) implements StoreChange {

        @Override
        public String subject() {
            return ENDPOINT_PREFIX + name.value();
        }
    }

    /** A fleet entry was created or changed. */
    record EntryChanged(StoreEntry entry) implements StoreChange {

        @Override
        public String subject() {
            return ENTRY_PREFIX + entry.key();
        }
    }

    /** A fleet entry was removed. */
    record EntryRemoved(String key) implements StoreChange {

        @Override
        public String subject() {
            return ENTRY_PREFIX + key;
        }
    }

    /** A store entry cannot be decoded and is ignored. */
    record Undecodable(String key, String reason) implements StoreChange {

        @Override
        public String subject() {
            return UNDECODABLE_PREFIX + key;
        }
    }
}
