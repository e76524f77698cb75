package org.lavenderwick.core.connections;

/** What a connection is used for. */
public enum ConnectionPurpose {
    /** Status, seal and promote calls. One connection of each share is kept for them. */
    CONTROL,
    /** Statements of callers. */
    TRAFFIC
}
