package org.lavenderwick.core.statement;

/** Kind of a statement sent by a caller. */
public enum StatementKind {
    /** Begins a read-write transaction. */
    BEGIN,
    /** Begins a read-only transaction. */
    BEGIN_READ_ONLY,
    /** Commits the open transaction. */
    COMMIT,
    /** Rolls back the open transaction. */
    ROLLBACK,
    /** Reads one item. */
    READ,
    /** Writes one item. */
    WRITE,
    /** Sets a session variable. */
    SET,
    /** Prepares a statement under a name chosen by the session. */
    PREPARE,
    /** Executes a prepared statement. */
    EXECUTE,
    /** Removes a prepared statement. */
    DEALLOCATE
}
