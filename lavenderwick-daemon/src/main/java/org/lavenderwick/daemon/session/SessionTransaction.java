package org.lavenderwick.daemon.session;

import java.util.Optional;

import org.lavenderwick.adapters.session.SessionState;
import org.lavenderwick.core.catalog.DatabaseRoute;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

/** The transaction of a session, and the endpoint connection that it is bound to. Confined to the traffic thread. */
final class SessionTransaction {

    private TransactionState state = TransactionState.NONE;
    private boolean readOnly;
    private DatabaseRoute route;
    private EndpointConnection connection;

    TransactionState state() {
        return state;
    }

    boolean isReadOnly() {
        return readOnly;
    }

    /** Returns the route of the database when the transaction began. */
    DatabaseRoute route() {
        return route;
    }

    /** Returns the connection on which the transaction is open; null if there is none. */
    EndpointConnection connection() {
        return connection;
    }

    boolean isNone() {
        return state == TransactionState.NONE;
    }

    boolean isFailed() {
        return state == TransactionState.FAILED;
    }

    /** Returns whether the caller has begun a transaction that may still be committed. */
    boolean isOpen() {
        return state == TransactionState.OPEN || state == TransactionState.ANNOUNCED;
    }

    /** Returns the state of the session as the caller is told. */
    SessionState sessionState() {
        return switch (state) {
            case NONE -> SessionState.IDLE;
            case ANNOUNCED, OPEN, LOST -> SessionState.IN_TRANSACTION;
            case FAILED -> SessionState.FAILED;
        };
    }

    /** Begins a transaction that no endpoint has opened yet. */
    void begin(DatabaseRoute newRoute, boolean beginReadOnly) {
        state = TransactionState.ANNOUNCED;
        readOnly = beginReadOnly;
        route = newRoute;
    }

    /** Binds the transaction to a connection of a session, which opens it with its next statement. */
    void bind(EndpointConnection newConnection, CallerSession session) {
        connection = newConnection;
        connection.reserveFor(session);
        state = TransactionState.OPEN;
    }

    /**
     * Sends a further statement to the endpoint of the transaction.
     *
     * @return why it must not be sent; empty if it was
     */
    Optional<Failure> run(PendingStatement pending, SessionProxy proxy) {
        pending.recordPrimaryWhenSent(proxy.provenPrimary(pending.route().group(), connection));
        if (pending.commitsWrites() && pending.primaryWhenSent().isEmpty()) {
            return Optional.of(Failure.of(ErrorKind.TRANSACTION_ABORTED, "the primary may have been replaced"));
        }
        connection.run(pending, Optional.empty());
        return Optional.empty();
    }

    /** Called when the first statement of the transaction did not run and was queued again. */
    void onRequeued() {
        state = TransactionState.ANNOUNCED;
    }

    /** Sets the state after the end of the transaction, without rolling it back. */
    void end(TransactionState newState) {
        state = newState;
    }

    /** Rolls the transaction back and records that the caller has not been told yet. */
    void lose() {
        release();
        state = TransactionState.LOST;
    }

    /** Rolls the transaction back at its endpoint, if it is open there. */
    void release() {
        if (connection != null) {
            EndpointConnection released = connection;
            connection = null;
            released.rollBack();
        }
    }

    /** Called when the connection is no longer reserved, because the transaction has ended or not begun. */
    void onConnectionReleased() {
        connection = null;
    }

    /** Called when the connection closed while no statement was running. */
    void onConnectionLost() {
        connection = null;
        if (state == TransactionState.OPEN) {
            state = TransactionState.LOST;
        }
    }
}
