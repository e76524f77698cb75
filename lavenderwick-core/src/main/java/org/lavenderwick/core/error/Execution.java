package org.lavenderwick.core.error;

/** Whether a failed request ran at the database. */
public enum Execution {
    /** The request had no effect and will have none. */
    NOT_RUN,
    /** The request ran. */
    RAN,
    /** The request may have run or may still run. */
    UNKNOWN
}
