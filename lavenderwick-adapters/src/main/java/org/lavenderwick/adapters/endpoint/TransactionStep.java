package org.lavenderwick.adapters.endpoint;

/** Place of a request within a transaction on its connection. */
public enum TransactionStep {
    /** All statements form one transaction of their own. */
    SINGLE,
    /** Opens a transaction, then runs the statements. */
    BEGIN,
    /** Runs the statements in the open transaction. */
    CONTINUE,
    /** Commits the open transaction. */
    COMMIT,
    /** Rolls the open transaction back. */
    ROLLBACK
}
