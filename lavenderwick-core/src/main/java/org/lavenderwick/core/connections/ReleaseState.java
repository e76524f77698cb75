package org.lavenderwick.core.connections;

/** The state of a connection when the request that used it releases it to the pool. */
public enum ReleaseState {
    /** Every request has its response and no transaction is open. Only a connection in this state is reused. */
    CLEAN,
    /** A transaction is open. */
    OPEN_TRANSACTION,
    /** A request has no response, or a response matched no request. */
    UNMATCHED_ANSWER,
    /** A request timed out; the network path to the endpoint may have failed. */
    TIMED_OUT,
    /** The connection failed. */
    BROKEN
}
