package org.lavenderwick.core.catalog;

/** The role that an endpoint reports for itself. */
public enum EndpointRole {
    /** Accepts writes in its own view; may have been replaced without noticing. */
    PRIMARY,
    /** Follows the log of a primary. */
    REPLICA
}
