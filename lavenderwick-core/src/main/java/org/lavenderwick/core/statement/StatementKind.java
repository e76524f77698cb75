package org.lavenderwick.core.statement;

/** What a statement asks for. */
public enum StatementKind {
    /** Opens a transaction that may write. */
    BEGIN,
    /** Opens a transaction that only reads. */
    BEGIN_READ_ONLY,
    /** Commits the open transaction. */
    COMMIT,
    /** Rolls the open transaction back. */
    ROLLBACK,
    /** Reads one item. */
    READ,
    /** Writes one item. */
    WRITE,
    /** Sets a value of the session. */
    SET,
    /** Prepares a statement under a name of the session. */
    PREPARE,
    /** Runs a prepared statement. */
    EXECUTE,
    /** Forgets a prepared statement. */
    DEALLOCATE
}
