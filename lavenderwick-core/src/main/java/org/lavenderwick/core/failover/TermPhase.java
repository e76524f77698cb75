package org.lavenderwick.core.failover;

/** The progress of a failover as recorded in the term record. */
public enum TermPhase {
    /** No failover is in progress; the recorded primary serves. */
    OPEN(2),
    /** The primary is being replaced; the term record no longer serves as evidence for it. */
    CLOSING(0),
    /** The promotion of the recorded candidate may have been requested. */
    PROMOTING(1);

    private final int progress;

    TermPhase(int progress) {
        this.progress = progress;
    }

    /** Returns a number that grows with the progress of a failover, which begins with {@link #CLOSING}. */
    int progress() {
        return progress;
    }
}
