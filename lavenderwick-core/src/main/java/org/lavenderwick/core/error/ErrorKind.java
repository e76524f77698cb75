package org.lavenderwick.core.error;

/** The closed list of error kinds. Each kind fixes the answer that a caller gets. */
public enum ErrorKind {
    /** The request does not follow the interface. */
    MALFORMED_REQUEST(400, Execution.NOT_RUN, Retryability.USELESS),
    /** The session token or transaction handle was not issued by this fleet. */
    INVALID_TOKEN(400, Execution.NOT_RUN, Retryability.USELESS),
    /** The service has no such rank. */
    UNKNOWN_RANK(400, Execution.NOT_RUN, Retryability.USELESS),
    /** The configuration has no such service. */
    UNKNOWN_SERVICE(404, Execution.NOT_RUN, Retryability.USELESS),
    /** The service has no such database group. */
    UNKNOWN_GROUP(404, Execution.NOT_RUN, Retryability.USELESS),
    /** The transaction has ended or never existed. */
    UNKNOWN_TRANSACTION(404, Execution.NOT_RUN, Retryability.USELESS),
    /** The request body exceeds the limit. */
    REQUEST_TOO_LARGE(413, Execution.NOT_RUN, Retryability.USELESS),
    /** A failover dropped a write of this session. */
    SESSION_WRITE_LOST(409, Execution.NOT_RUN, Retryability.USELESS),
    /** The transaction was rolled back. */
    TRANSACTION_ABORTED(409, Execution.NOT_RUN, Retryability.SAFE),
    /** Another operator changed the document first. */
    VERSION_CONFLICT(409, Execution.NOT_RUN, Retryability.USELESS),
    /** The database rejected a statement; it had no effect. */
    STATEMENT_FAILED(422, Execution.RAN, Retryability.USELESS),
    /** The session has no prepared statement of that name. */
    UNKNOWN_PREPARED_STATEMENT(404, Execution.NOT_RUN, Retryability.USELESS),
    /** The lease ended before the call that needs it. */
    LEASE_EXPIRED(409, Execution.NOT_RUN, Retryability.USELESS),
    /** The store no longer holds the changes that were asked for. */
    HISTORY_UNAVAILABLE(410, Execution.NOT_RUN, Retryability.USELESS),
    /** The queue of the rank is full. */
    QUEUE_FULL(503, Execution.NOT_RUN, Retryability.SAFE),
    /** The request cannot be served before its deadline. */
    DEADLINE_UNREACHABLE(503, Execution.NOT_RUN, Retryability.SAFE),
    /** Too many requests are being retried. */
    RETRY_BUDGET_EXHAUSTED(503, Execution.NOT_RUN, Retryability.SAFE),
    /** The database group has no reachable primary. */
    NO_PRIMARY(503, Execution.NOT_RUN, Retryability.SAFE),
    /** It cannot be shown that the primary has not been replaced. */
    TERM_UNCONFIRMED(503, Execution.NOT_RUN, Retryability.SAFE),
    /** No reachable endpoint is fresh enough. */
    NO_ELIGIBLE_ENDPOINT(503, Execution.NOT_RUN, Retryability.SAFE),
    /** No owner of the database group can be reached. */
    OWNER_UNREACHABLE(503, Execution.NOT_RUN, Retryability.SAFE),
    /** The daemon is shutting down. */
    DRAINING(503, Execution.NOT_RUN, Retryability.SAFE),
    /** The daemon has no configuration yet. */
    NOT_CONFIGURED(503, Execution.NOT_RUN, Retryability.SAFE),
    /** The platform service does not answer. */
    PLATFORM_UNAVAILABLE(503, Execution.NOT_RUN, Retryability.SAFE),
    /** The request was sent but no answer came. */
    OUTCOME_UNKNOWN(504, Execution.UNKNOWN, Retryability.WITH_IDEMPOTENCY_KEY),
    /** A statement that only reads was not answered in time. */
    STATEMENT_TIMEOUT(504, Execution.UNKNOWN, Retryability.WITH_IDEMPOTENCY_KEY),
    /** A fault in the proxy. */
    INTERNAL_ERROR(500, Execution.UNKNOWN, Retryability.WITH_IDEMPOTENCY_KEY);

    private final int httpStatus;
    private final Execution execution;
    private final Retryability retryability;

    ErrorKind(int httpStatus, Execution execution, Retryability repeat) {
        this.httpStatus = httpStatus;
        this.execution = execution;
        this.retryability = repeat;
    }

    /** Returns the HTTP status of the answer. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns whether the request ran. */
    public Execution execution() {
        return execution;
    }

    /** Returns whether the caller may repeat the request. */
    public Retryability retryability() {
        return retryability;
    }
}
