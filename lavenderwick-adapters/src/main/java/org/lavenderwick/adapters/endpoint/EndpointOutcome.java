package org.lavenderwick.adapters.endpoint;

/** What an endpoint did with a request. */
public enum EndpointOutcome {
    /** All statements ran; for {@code SINGLE} and {@code COMMIT} the transaction is committed. */
    DONE,
    /** A statement failed and its transaction was rolled back. */
    STATEMENT_FAILED,
    /** Not run: the endpoint is not the primary of the expected term. */
    NOT_PRIMARY,
    /** Not run: the endpoint has promised a later term and takes no new work as primary. */
    SEALED,
    /** Not run: the endpoint's log or data is not fresh enough. */
    BEHIND,
    /** Not run: the minimum point lies past the start of a later term, so the session's write is lost. */
    WRITE_LOST,
    /** Not run: the connection has no open transaction, or has one that it should not have. */
    WRONG_TRANSACTION_STATE
}
