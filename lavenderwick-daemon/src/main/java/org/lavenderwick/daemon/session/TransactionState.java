package org.lavenderwick.daemon.session;

/** The state of a caller's transaction, as its session tracks it. */
enum TransactionState {
    /** No transaction is open. */
    NONE,
    /** The caller has begun a transaction, but no endpoint has opened it yet. */
    ANNOUNCED,
    /** The transaction is open at an endpoint. */
    OPEN,
    /** The transaction was rolled back and the caller has not been told yet. */
    LOST,
    /** The transaction has failed and the caller has been told. */
    FAILED
}
