package org.lavenderwick.core.error;

/**
 * Kinds of errors returned to callers. A kind determines the HTTP status, whether the request may have been executed
 * and whether the caller may retry it.
 */
public enum ErrorKind {
    /** The request does not conform to the interface definition. */
    MALFORMED_REQUEST(400, Execution.NOT_RUN, Retryability.USELESS),
    /** The session token or transaction handle was not issued by this fleet. */
    INVALID_TOKEN(400, Execution.NOT_RUN, Retryability.USELESS),
    /** The key of the caller gives no access, or was withdrawn. */
    UNAUTHORIZED(401, Execution.NOT_RUN, Retryability.USELESS),
    /** The service has no such rank. */
    UNKNOWN_RANK(400, Execution.NOT_RUN, Retryability.USELESS),
    /** The configuration contains no such service. */
    UNKNOWN_SERVICE(404, Execution.NOT_RUN, Retryability.USELESS),
    /** The service has no such database group. */
    UNKNOWN_GROUP(404, Execution.NOT_RUN, Retryability.USELESS),
    /** The transaction has ended or never existed. */
    UNKNOWN_TRANSACTION(404, Execution.NOT_RUN, Retryability.USELESS),
    /** The request body exceeds the size limit. */
    REQUEST_TOO_LARGE(413, Execution.NOT_RUN, Retryability.USELESS),
    /** A failover discarded a write of the session, or the write cannot be shown to remain. */
    SESSION_WRITE_LOST(409, Execution.NOT_RUN, Retryability.USELESS),
    /** The transaction was rolled back. */
    TRANSACTION_ABORTED(409, Execution.NOT_RUN, Retryability.SAFE),
    /** The document was changed concurrently by another operator. */
    VERSION_CONFLICT(409, Execution.NOT_RUN, Retryability.USELESS),
    /** The database rejected a statement; it had no effect. */
    STATEMENT_FAILED(422, Execution.RAN, Retryability.USELESS),
    /** The session has no prepared statement with this name. */
    UNKNOWN_PREPARED_STATEMENT(404, Execution.NOT_RUN, Retryability.USELESS),
    /** The lease expired before the call that requires it. */
    LEASE_EXPIRED(409, Execution.NOT_RUN, Retryability.USELESS),
    /** The store no longer retains the requested changes. */
    HISTORY_UNAVAILABLE(410, Execution.NOT_RUN, Retryability.USELESS),
    /** The admission queue of the rank is full. */
    QUEUE_FULL(503, Execution.NOT_RUN, Retryability.SAFE),
    /** The account has started as many operations as its limit allows. */
    RATE_LIMITED(503, Execution.NOT_RUN, Retryability.SAFE),
    /** The request cannot be completed before its deadline. */
    DEADLINE_UNREACHABLE(503, Execution.NOT_RUN, Retryability.SAFE),
    /** Too many requests are being retried at the moment. */
    RETRY_BUDGET_EXHAUSTED(503, Execution.NOT_RUN, Retryability.SAFE),
    /** The database group has no reachable primary. */
    NO_PRIMARY(503, Execution.NOT_RUN, Retryability.SAFE),
    /** The proxy has no current proof that the known primary has not been replaced. */
    TERM_UNCONFIRMED(503, Execution.NOT_RUN, Retryability.SAFE),
    /** No reachable endpoint is fresh enough for the read. */
    NO_ELIGIBLE_ENDPOINT(503, Execution.NOT_RUN, Retryability.SAFE),
    /** No daemon that owns the database group can be reached. */
    OWNER_UNREACHABLE(503, Execution.NOT_RUN, Retryability.SAFE),
    /** The daemon is shutting down. */
    DRAINING(503, Execution.NOT_RUN, Retryability.SAFE),
    /** The daemon has not received a configuration yet. */
    NOT_CONFIGURED(503, Execution.NOT_RUN, Retryability.SAFE),
    /** The configuration lacks what the request names, and may have been extended without the daemon's knowledge. */
    CONFIGURATION_OUTDATED(503, Execution.NOT_RUN, Retryability.SAFE),
    /** The platform service does not respond. */
    PLATFORM_UNAVAILABLE(503, Execution.NOT_RUN, Retryability.SAFE),
    /** The request was sent to an endpoint, but no response arrived. */
    OUTCOME_UNKNOWN(504, Execution.UNKNOWN, Retryability.WITH_IDEMPOTENCY_KEY),
    /** A read-only statement did not complete in time. */
    STATEMENT_TIMEOUT(504, Execution.UNKNOWN, Retryability.WITH_IDEMPOTENCY_KEY),
    /** An internal error of the proxy. */
    INTERNAL_ERROR(500, Execution.UNKNOWN, Retryability.WITH_IDEMPOTENCY_KEY);

    private final int httpStatus;
    private final Execution execution;
    private final Retryability retryability;

    ErrorKind(int httpStatus, Execution execution, Retryability repeat) {
        this.httpStatus = httpStatus;
        this.execution = execution;
        this.retryability = repeat;
    }

    /** Returns the HTTP status code of the response. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns whether the request was executed. */
    public Execution execution() {
        return execution;
    }

    /** Returns whether the caller may retry the request. */
    public Retryability retryability() {
        return retryability;
    }
}
