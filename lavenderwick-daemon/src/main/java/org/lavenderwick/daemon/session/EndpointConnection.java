package org.lavenderwick.daemon.session;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.session.EndpointCodec;
import org.lavenderwick.adapters.session.EndpointError;
import org.lavenderwick.adapters.session.EndpointMessage;
import org.lavenderwick.adapters.session.SessionState;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.connections.account.AccountConnection;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.statement.ConnectionContext;
import org.lavenderwick.core.statement.SetupStep;

/**
 * A connection to an endpoint. It runs one statement at a time, and is reserved for one session while a transaction is
 * open on it. Confined to the traffic thread.
 */
final class EndpointConnection implements LineConnection.Listener, AccountConnection {

    /** A listener for the events of a connection. */
    interface Listener {
        /** The handshake has succeeded. */
        void onOpened(EndpointConnection connection);

        /**
         * The connection is closed.
         *
         * @param runningStatement the statement whose response is missing, if any
         * @param rejection the error with which the endpoint rejected the handshake, if it did
         */
        void onClosed(
                EndpointConnection connection,
                Optional<PendingStatement> runningStatement,
                Optional<EndpointError> rejection);

        /** A request was sent on the connection. */
        void onRequestSent(EndpointConnection connection);

        /** The complete response to any request has arrived. */
        void onResponse(EndpointConnection connection, EndpointResponse response);

        /** The response to a statement has arrived; the connection remains reserved if a transaction is open. */
        void onStatementFinished(EndpointConnection connection, PendingStatement pending, EndpointResponse response);

        /** The statement was not sent because the endpoint rejected the BEGIN of its transaction. */
        void onStatementRejected(EndpointConnection connection, PendingStatement pending, EndpointError error);

        /** The connection is available for another statement. */
        void onIdle(EndpointConnection connection);
    }

    private static final Logger LOG = Logger.getLogger(EndpointConnection.class);

    private final EventLoop loop;
    private final EndpointCodec codec;
    private final EndpointEntry endpoint;
    private final Optional<AccountName> account;
    private final Listener listener;
    private final ConnectionContext context = ConnectionContext.create();
    private final Deque<PendingResponse> pendingResponses = new ArrayDeque<>();
    private final Duration connectStartedAt;
    private Duration tcpHandshakeTime = Duration.ZERO;
    private LineConnection line;
    private boolean open;
    private boolean closed;
    private boolean inTransaction;
    private boolean reserved;
    private PendingStatement runningStatement;
    private CallerSession transactionOwner;
    private boolean rollBackWhenDone;

    private EndpointConnection(
            EventLoop loop,
            EndpointCodec codec,
            EndpointEntry endpoint,
            Optional<AccountName> account,
            Listener listener) {
        this.loop = loop;
        this.codec = codec;
        this.endpoint = endpoint;
        this.account = account;
        this.listener = listener;
        this.connectStartedAt = loop.now();
    }

    /**
     * Starts to open a connection.
     *
     * @param account the client account that it belongs to for as long as it is open; empty for the daemon's own
     */
    static EndpointConnection open(
            EventLoop loop,
            EndpointCodec codec,
            EndpointEntry endpoint,
            Optional<AccountName> account,
            Listener listener)
            throws IOException {
        EndpointConnection connection = new EndpointConnection(loop, codec, endpoint, account, listener);
        connection.line = LineConnection.connect(loop, endpoint.address(), connection);
        return connection;
    }

    EndpointEntry endpoint() {
        return endpoint;
    }

    ConnectionContext context() {
        return context;
    }

    @Override
    public Optional<AccountName> account() {
        return account;
    }

    @Override
    public boolean isOpen() {
        return open && !closed;
    }

    /** Returns whether the connection is available for a new statement. */
    @Override
    public boolean isIdle() {
        return isOpen() && runningStatement == null && !reserved && pendingResponses.isEmpty();
    }

    @Override
    public boolean isReserved() {
        return reserved;
    }

    /** Returns whether the handshake has succeeded; remains true after the connection is closed. */
    boolean wasOpen() {
        return open;
    }

    boolean isRunning() {
        return runningStatement != null;
    }

    Optional<PendingStatement> runningStatement() {
        return Optional.ofNullable(runningStatement);
    }

    /** Returns the time that the TCP handshake took; zero before it. */
    Duration tcpHandshakeTime() {
        return tcpHandshakeTime;
    }

    /** Returns the time since the start of the connection attempt. */
    Duration age() {
        return loop.now().minus(connectStartedAt);
    }

    /**
     * Returns when the oldest pending request was sent, or the start of the connection attempt if the connection is not
     * open yet. Empty if nothing is pending or the connection is closed.
     */
    @Override
    public Optional<Duration> pendingSince() {
        if (closed) {
            return Optional.empty();
        }
        if (!open) {
            return Optional.of(connectStartedAt);
        }
        return Optional.ofNullable(pendingResponses.peekFirst()).map(PendingResponse::sentAt);
    }

    /** Returns the session whose transaction the connection is reserved for. */
    Optional<CallerSession> transactionOwner() {
        return Optional.ofNullable(transactionOwner);
    }

    /** Reserves the connection for the transaction of a session. */
    void reserveFor(CallerSession session) {
        transactionOwner = session;
    }

    private void clearReservation() {
        reserved = false;
        rollBackWhenDone = false;
        CallerSession owner = transactionOwner;
        transactionOwner = null;
        if (owner != null) {
            // The connection may serve another session from now on.
            owner.onConnectionReleased();
        }
    }

    /** Sends a status request to the endpoint; the connection must be idle. */
    void requestStatus(Consumer<EndpointResponse> receiver) {
        send(codec.status(), receiver);
    }

    /**
     * Runs a statement. The first statement of a transaction begins the transaction on this connection, which is then
     * reserved until the transaction ends.
     *
     * @param minPoint log position that the endpoint must have reached
     */
    void run(PendingStatement pending, Optional<LogPoint> minPoint) {
        runningStatement = pending;
        reserved = pending.isTransactional();
        List<SetupStep> steps = context.switchTo(pending.session().context(), pending.prepared(), !inTransaction);
        if (steps.isEmpty()) {
            beginAndSend(pending, minPoint);
            return;
        }
        for (Iterator<SetupStep> remaining = steps.iterator(); remaining.hasNext(); ) {
            SetupStep step = remaining.next();
            boolean last = !remaining.hasNext();
            send(codec.setup(step), response -> {
                if (!response.succeeded()) {
                    close("the endpoint rejected a setup step");
                } else if (last) {
                    beginAndSend(pending, minPoint);
                }
            });
        }
    }

    /** Sends a statement, after beginning its transaction if that is not open yet. */
    private void beginAndSend(PendingStatement pending, Optional<LogPoint> minPoint) {
        if (!pending.isTransactional() || inTransaction) {
            sendStatement(pending, inTransaction ? Optional.empty() : minPoint);
            return;
        }
        send(codec.begin(!pending.mayWrite(), minPoint), response -> {
            if (response.succeeded() && response.state() == SessionState.IN_TRANSACTION) {
                inTransaction = true;
                sendStatement(pending, Optional.empty());
            } else {
                runningStatement = null;
                clearReservation();
                listener.onStatementRejected(
                        this,
                        pending,
                        response.error().map(EndpointMessage.Error::error).orElse(EndpointError.OTHER));
            }
        });
    }

    private void sendStatement(PendingStatement pending, Optional<LogPoint> minPoint) {
        Optional<String> name = pending.prepared().flatMap(context::nameOf);
        pending.recordSend(loop.now());
        send(
                codec.statement(pending.id(), pending.statement(), name, minPoint),
                response -> onStatementResponse(pending, response));
    }

    private void onStatementResponse(PendingStatement pending, EndpointResponse response) {
        runningStatement = null;
        if (inTransaction && response.state() == SessionState.IDLE) {
            inTransaction = false;
            clearReservation();
        }
        response.error()
                .filter(error -> error.error() == EndpointError.UNKNOWN_PREPARED)
                .ifPresent(error -> pending.prepared().ifPresent(context::remove));
        if (response.state() != SessionState.IDLE && !inTransaction) {
            close("the endpoint reports a transaction that was not begun");
        }
        listener.onStatementFinished(this, pending, response);
        if (rollBackWhenDone) {
            rollBack();
        }
    }

    /**
     * Rolls the open transaction back, if there is one, and ends the reservation of the connection. A running statement
     * is not interrupted: the rollback follows its response, unless it is a COMMIT that succeeds.
     */
    void rollBack() {
        if (closed) {
            return;
        }
        transactionOwner = null;
        rollBackWhenDone = isRunning();
        if (rollBackWhenDone) {
            return;
        }
        if (!inTransaction) {
            clearReservation();
            listener.onIdle(this);
            return;
        }
        send(codec.rollback(), response -> {
            if (response.state() != SessionState.IDLE) {
                close("the endpoint did not roll back");
                return;
            }
            inTransaction = false;
            clearReservation();
            listener.onIdle(this);
        });
    }

    private void send(String text, Consumer<EndpointResponse> receiver) {
        pendingResponses.addLast(new PendingResponse(loop.now(), receiver));
        listener.onRequestSent(this);
        line.send(text);
    }

    @Override
    public void onConnected() {
        tcpHandshakeTime = age();
        line.send(codec.connect(endpoint.group(), account, endpoint.name()));
    }

    @Override
    public void onLine(String text) {
        Either<Failure, EndpointMessage> message = codec.parse(text);
        if (message.isLeft()) {
            close(message.getLeft().detail());
        } else if (!open) {
            onHandshakeMessage(message.get());
        } else {
            onResponseMessage(message.get());
        }
    }

    private void onHandshakeMessage(EndpointMessage message) {
        if (message instanceof EndpointMessage.Ready) {
            open = true;
            listener.onOpened(this);
        } else if (message instanceof EndpointMessage.Error error) {
            terminate(Optional.of(error.error()));
        } else {
            close("the endpoint sent an unexpected message");
        }
    }

    private void onResponseMessage(EndpointMessage message) {
        PendingResponse pendingResponse = pendingResponses.peekFirst();
        if (pendingResponse == null || !pendingResponse.accept(message)) {
            close("the endpoint sent an unexpected message");
        } else if (message instanceof EndpointMessage.Ready ready) {
            pendingResponses.removeFirst();
            EndpointResponse response = pendingResponse.toResponse(ready);
            listener.onResponse(this, response);
            pendingResponse.deliver(response);
        }
    }

    @Override
    public void onMalformedLine(boolean tooLong) {
        close("the endpoint sent a malformed line");
    }

    @Override
    public void onClosed(String reason) {
        terminate(Optional.empty());
    }

    /** Closes the connection. A running statement gets no response. */
    void close(String reason) {
        LOG.debugf("[session] Closing a connection to endpoint %s: %s.", endpoint.name(), reason);
        terminate(Optional.empty());
    }

    /** Closes an idle connection without calling the listener, which has removed it already. */
    void discard() {
        closed = true;
        line.close();
    }

    private void terminate(Optional<EndpointError> rejection) {
        if (closed) {
            return;
        }
        closed = true;
        line.close();
        Optional<PendingStatement> pending = runningStatement();
        runningStatement = null;
        listener.onClosed(this, pending, rejection);
    }
}
