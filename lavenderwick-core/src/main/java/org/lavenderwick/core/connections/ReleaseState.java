package org.lavenderwick.core.connections;

/** The state in which a connection comes back from use. */
public enum ReleaseState {
    /** Every request was answered and no transaction is open. Only such a connection is used again. */
    CLEAN,
    /** A transaction is open. */
    OPEN_TRANSACTION,
    /** A request has no answer, or an answer matched no request. */
    UNMATCHED_ANSWER,
    /** No answer came in time; the path to the endpoint may be silent. */
    TIMED_OUT,
    /** The connection broke. */
    BROKEN
}
