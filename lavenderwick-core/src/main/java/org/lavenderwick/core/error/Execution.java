package org.lavenderwick.core.error;

/** Whether the database executed a failed request. */
public enum Execution {
    /** The request was not executed and will not be. */
    NOT_RUN,
    /** The request was executed. */
    RAN,
    /** The request may have been executed, or may still be. */
    UNKNOWN
}
