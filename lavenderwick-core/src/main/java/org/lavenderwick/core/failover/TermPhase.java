package org.lavenderwick.core.failover;

/** The progress of a failover as recorded in the term record. */
public enum TermPhase {
    /** No failover is in progress; the recorded primary serves. */
    OPEN,
    /** The primary is being replaced; the term record no longer serves as evidence for it. */
    CLOSING,
    /** The promotion of the recorded candidate may have been requested. */
    PROMOTING
}
