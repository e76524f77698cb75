package org.lavenderwick.core.propagation;

/** How a daemon uses the store as a source of changes. */
public enum StoreRole {
    /** Watches the store all the time. */
    WATCHER,

    /** Reads the store while the content of its feed is too old, as one of the first to do so. */
    STANDBY,

    /** Reads the store while its content is almost as old as the bound allows, when all others have failed. */
    FOLLOWER
}
