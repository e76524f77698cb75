package org.lavenderwick.core.admission;

/** What a work item does, which decides the endpoints that may run it. */
public enum Access {
    /** A read that a replica may answer. */
    READ,
    /** A read that only the primary may answer. */
    PRIMARY_READ,
    /** A write or a transaction, which only the primary runs. */
    WRITE
}
