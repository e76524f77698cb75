package org.lavenderwick.core.catalog;

/** The replication role that an endpoint reports for itself. */
public enum EndpointRole {
    /** Accepts writes. The endpoint may have been replaced as primary without knowing it yet. */
    PRIMARY,
    /** Receives and applies the log of a primary. */
    REPLICA
}
