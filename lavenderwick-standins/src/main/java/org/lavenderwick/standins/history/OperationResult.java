package org.lavenderwick.standins.history;

/** What a caller was told about one operation. */
public enum OperationResult {
    /** The whole answer came. */
    ACKNOWLEDGED,
    /** Refused; the caller was told that the operation did not run. */
    NOT_RUN,
    /** Refused because a failover dropped a write of the session; the operation did not run. */
    SESSION_WRITE_LOST,
    /** The caller was told that the outcome is unknown, or got no answer. */
    UNKNOWN
}
