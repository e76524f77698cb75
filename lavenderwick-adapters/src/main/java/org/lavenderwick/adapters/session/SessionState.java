package org.lavenderwick.adapters.session;

/** The transaction state that an answer reports. */
public enum SessionState {
    /** No transaction is open. */
    IDLE,
    /** A transaction is open. */
    IN_TRANSACTION,
    /** The transaction has failed and can only be ended. */
    FAILED
}
