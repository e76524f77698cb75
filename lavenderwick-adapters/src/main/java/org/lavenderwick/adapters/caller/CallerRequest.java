package org.lavenderwick.adapters.caller;

import java.time.Duration;
import java.util.Optional;

import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.RankName;
import org.lavenderwick.core.model.ServiceName;

/** A well-formed request of a caller. Whether its names exist is checked by the {@link RequestHandler}. */
public sealed interface CallerRequest {
    /** Returns the time within which the caller wants an answer, counted from the arrival of the request. */
    Duration deadline();

    /** Returns the session token that the caller sent. */
    Optional<String> session();

    /** Returns the JSON array of statements, passed on unread. */
    byte[] statements();

    /**
     * Statements that form a transaction of their own.
     *
     * @param service the service
     * @param group the database group
     * @param rank the rank of the work
     * @param write whether the statements may change data
     * @param statements JSON array of statements
     * @param deadline time within which the caller wants an answer
     * @param maxStaleness age of data that the caller accepts; empty for the default of the service
     * @param idempotencyKey key under which a repeat of the request runs only once
     * @param session token of the session; empty for no session
     */
    record Single(
            ServiceName service,
            GroupName group,
            RankName rank,
            boolean write,
            byte[] statements,
            Duration deadline,
            Optional<Duration> maxStaleness,
            Optional<String> idempotencyKey,
            Optional<String> session)
            implements CallerRequest {}

    /**
     * Begins a transaction that later requests continue.
     *
     * @param service the service
     * @param group the database group
     * @param rank the rank of the work
     * @param statements JSON array of the first statements, possibly empty
     * @param deadline time within which the caller wants an answer
     * @param session token of the session; empty for no session
     */
    record Begin(
            ServiceName service,
            GroupName group,
            RankName rank,
            byte[] statements,
            Duration deadline,
            Optional<String> session)
            implements CallerRequest {}

    /**
     * A step of an open transaction.
     *
     * @param handle the handle that the answer to {@link Begin} gave
     * @param action what to do
     * @param statements JSON array of statements, empty for an end of the transaction
     * @param deadline time within which the caller wants an answer
     * @param session token of the session; empty for no session
     */
    record Step(String handle, Action action, byte[] statements, Duration deadline, Optional<String> session)
            implements CallerRequest {}

    /** What to do with an open transaction. */
    enum Action {
        /** Run statements. */
        CONTINUE,
        /** Commit. */
        COMMIT,
        /** Roll back. */
        ROLLBACK
    }
}
