package org.lavenderwick.core.admission;

/** The kind of data access of a work item, which determines the endpoints that may run it. */
public enum Access {
    /** A read that any replica or the primary may run. */
    READ,
    /** A read that only the primary may run. */
    PRIMARY_READ,
    /** A write or a transaction; only the primary may run it. */
    WRITE
}
