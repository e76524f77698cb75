package org.lavenderwick.core.failover;

/** How far the replacement of a primary has come. */
public enum TermPhase {
    /** The primary serves. */
    OPEN,
    /** The primary is being replaced; nobody relies on it any more. */
    CLOSING,
    /** The promotion of a candidate may have been ordered. */
    PROMOTING
}
