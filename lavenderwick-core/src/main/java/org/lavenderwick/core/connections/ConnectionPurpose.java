package org.lavenderwick.core.connections;

/** The purpose of a pooled connection. */
public enum ConnectionPurpose {
    /** Status, seal and promote calls. One connection of each pool is reserved for them. */
    CONTROL,
    /** Statements of clients. */
    TRAFFIC
}
