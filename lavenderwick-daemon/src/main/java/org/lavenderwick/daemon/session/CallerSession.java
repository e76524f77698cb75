package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.lavenderwick.adapters.session.CallerCodec;
import org.lavenderwick.adapters.session.CallerMessage;
import org.lavenderwick.adapters.session.SessionState;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.admission.Access;
import org.lavenderwick.core.catalog.DatabaseRoute;
import org.lavenderwick.core.catalog.ReadConsistency;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.statement.PreparedStatement;
import org.lavenderwick.core.statement.SessionContext;
import org.lavenderwick.core.statement.Statement;
import org.lavenderwick.core.statement.StatementKind;

/**
 * The session of one caller: its session variables, its prepared statements, its transaction and the statement that is
 * in progress. Confined to the traffic thread.
 */
final class CallerSession implements LineConnection.Listener {

    private final SessionProxy proxy;
    private final CallerCodec codec;
    private final CallerResponseWriter responseWriter;
    private final EventLoop loop;
    private final Runnable onEnd;
    private final SessionContext context = SessionContext.create();
    private LineConnection line;
    private String database;
    private Optional<AccountName> account = Optional.empty();
    private TransactionState transaction = TransactionState.NONE;
    private boolean readOnly;
    private DatabaseRoute transactionRoute;
    private EndpointConnection transactionConnection;
    private PendingStatement current;
    private Optional<LogPoint> latestCommit = Optional.empty();
    private Duration lastActiveAt;

    /**
     * Creates a session without a database.
     *
     * @param onEnd runs when the session ends
     */
    CallerSession(SessionProxy proxy, CallerCodec codec, EventLoop loop, Runnable onEnd) {
        this.proxy = proxy;
        this.codec = codec;
        this.responseWriter = new CallerResponseWriter(codec, loop, proxy.requestLog());
        this.loop = loop;
        this.onEnd = onEnd;
        this.lastActiveAt = loop.now();
    }

    void attach(LineConnection connection) {
        line = connection;
        responseWriter.attach(connection);
    }

    /** Returns the client account of the caller; empty if the configuration names none or the database is public. */
    Optional<AccountName> account() {
        return account;
    }

    SessionContext context() {
        return context;
    }

    @Override
    public void onConnected() {
        // Never called: an accepted connection is already open.
    }

    @Override
    public void onLine(String text) {
        lastActiveAt = loop.now();
        Either<Failure, CallerMessage> message = codec.parse(text);
        if (message.isLeft()) {
            rejectAndClose(message.getLeft());
        } else if (message.get() instanceof CallerMessage.Connect connect) {
            connect(connect);
        } else if (message.get() instanceof CallerMessage.Quit) {
            end();
            line.closeAfterSending();
        } else if (database == null) {
            rejectAndClose(Failure.of(ErrorKind.MALFORMED_REQUEST, "the session is not open"));
        } else if (message.get() instanceof CallerMessage.BadQuery bad) {
            responseWriter.beginRequest("-", database);
            sendFailure(Failure.of(ErrorKind.MALFORMED_REQUEST, bad.reason()));
        } else if (message.get() instanceof CallerMessage.Query query) {
            query(query.id(), query.statement());
        }
    }

    private void connect(CallerMessage.Connect connect) {
        Optional<Failure> failure = database == null
                ? proxy.validateDatabase(connect.database())
                : Optional.of(Failure.of(ErrorKind.MALFORMED_REQUEST, "the session is open already"));
        if (failure.isPresent()) {
            rejectAndClose(failure.get());
            return;
        }
        database = connect.database();
        account = proxy.account(connect);
        responseWriter.sendReady(state(), Optional.empty());
    }

    private void query(String id, Statement statement) {
        responseWriter.beginRequest(id, database);
        if (transaction == TransactionState.LOST && statement.kind() != StatementKind.ROLLBACK) {
            transaction = statement.kind() == StatementKind.COMMIT ? TransactionState.NONE : TransactionState.FAILED;
            sendFailure(Failure.of(ErrorKind.TRANSACTION_ABORTED, "the transaction was rolled back"));
            return;
        }
        switch (statement.kind()) {
            case SET -> completeLocally(statement, context.setVariable(statement.name(), statement.operand()));
            case PREPARE -> {
                PreparedStatement prepared =
                        new PreparedStatement(statement.preparedAccess().get(), statement.operand());
                completeLocally(statement, context.prepare(statement.name(), prepared));
            }
            case DEALLOCATE -> {
                context.deallocate(statement.name());
                completeLocally(statement, true);
            }
            case BEGIN, BEGIN_READ_ONLY -> begin(statement.kind() == StatementKind.BEGIN_READ_ONLY);
            case ROLLBACK -> rollBack();
            case COMMIT -> commit(id, statement);
            default -> run(id, statement);
        }
    }

    private void completeLocally(Statement statement, boolean accepted) {
        if (transaction == TransactionState.FAILED) {
            rejectForState();
        } else if (!accepted) {
            sendFailure(Failure.of(ErrorKind.REQUEST_TOO_LARGE, "the session holds too many values or names"));
        } else {
            responseWriter.sendSuccess(List.of(), "", state(), Optional.empty());
        }
    }

    private void begin(boolean beginReadOnly) {
        if (transaction != TransactionState.NONE) {
            rejectForState();
            return;
        }
        Either<Failure, DatabaseRoute> route = proxy.route(database);
        if (route.isLeft()) {
            sendFailure(route.getLeft());
            return;
        }
        transaction = TransactionState.ANNOUNCED;
        readOnly = beginReadOnly;
        transactionRoute = route.get();
        responseWriter.sendSuccess(List.of(), "", state(), Optional.empty());
    }

    private void rollBack() {
        if (transaction == TransactionState.NONE) {
            rejectForState();
            return;
        }
        releaseTransaction();
        transaction = TransactionState.NONE;
        responseWriter.sendSuccess(List.of(), "", state(), Optional.empty());
    }

    private void commit(String id, Statement statement) {
        if (transaction == TransactionState.NONE) {
            rejectForState();
        } else if (transaction == TransactionState.FAILED) {
            transaction = TransactionState.NONE;
            sendFailure(Failure.of(ErrorKind.TRANSACTION_ABORTED, "the transaction had failed and is rolled back"));
        } else {
            submit(newTransactionStatement(id, statement, Optional.empty()));
        }
    }

    private void run(String id, Statement statement) {
        if (transaction == TransactionState.FAILED) {
            rejectForState();
            return;
        }
        Optional<PreparedStatement> prepared = Optional.empty();
        if (statement.kind() == StatementKind.EXECUTE) {
            prepared = context.prepared(statement.name());
            if (prepared.isEmpty()) {
                failTransaction(Failure.of(ErrorKind.UNKNOWN_PREPARED_STATEMENT, statement.name()));
                return;
            }
        }
        if (transaction != TransactionState.NONE) {
            submit(newTransactionStatement(id, statement, prepared));
            return;
        }
        Either<Failure, DatabaseRoute> route = proxy.route(database);
        if (route.isLeft()) {
            sendFailure(route.getLeft());
            return;
        }
        boolean writes = statement.kind() == StatementKind.WRITE
                || prepared.filter(known -> known.access() == Access.WRITE).isPresent();
        submit(newStatement(id, statement, prepared, route.get(), PendingStatement.Scope.SINGLE, writes));
    }

    private PendingStatement newTransactionStatement(
            String id, Statement statement, Optional<PreparedStatement> prepared) {
        return newStatement(id, statement, prepared, transactionRoute, PendingStatement.Scope.TRANSACTION, !readOnly);
    }

    private PendingStatement newStatement(
            String id,
            Statement statement,
            Optional<PreparedStatement> prepared,
            DatabaseRoute route,
            PendingStatement.Scope scope,
            boolean writes) {
        boolean primary = writes || route.consistency() == ReadConsistency.PRIMARY;
        return new PendingStatement(
                this, id, statement, prepared, route, scope, writes, primary, loop.now(), requiredPoint(route));
    }

    private Optional<LogPoint> requiredPoint(DatabaseRoute route) {
        return route.consistency() == ReadConsistency.READ_YOUR_WRITES ? latestCommit : Optional.empty();
    }

    private void submit(PendingStatement pending) {
        current = pending;
        line.pause();
        if (transactionConnection == null) {
            proxy.dispatcher(pending.route().group()).submit(pending);
            return;
        }
        pending.recordPrimaryWhenSent(proxy.provenPrimary(pending.route().group(), transactionConnection));
        if (pending.commitsWrites() && pending.primaryWhenSent().isEmpty()) {
            onFailed(pending, Failure.of(ErrorKind.TRANSACTION_ABORTED, "the primary may have been replaced"));
        } else {
            transactionConnection.run(pending, Optional.empty());
        }
    }

    /** Called before a statement is sent to an endpoint; binds a transaction to the connection. */
    void onStarted(PendingStatement pending, EndpointConnection connection) {
        if (pending.isTransactional()) {
            transactionConnection = connection;
            connection.reserveFor(this);
            transaction = TransactionState.OPEN;
        }
    }

    /** Called when a statement did not run and was queued again. */
    void onRequeued(PendingStatement pending) {
        if (pending.isTransactional()) {
            transaction = TransactionState.ANNOUNCED;
        }
    }

    /** Called when a statement succeeded; sends its result to the caller. */
    void onSucceeded(PendingStatement pending, EndpointResponse response) {
        if (pending.isCommit()) {
            transaction = TransactionState.NONE;
        }
        if (pending.commitsWrites()) {
            response.position()
                    .ifPresent(point -> latestCommit = Optional.of(latestCommit
                            .map(latest -> LogPoint.max(latest, point))
                            .orElse(point)));
        }
        if (current == pending) {
            responseWriter.sendSuccess(response.rows(), response.digest(), state(), response.position());
            finishCurrent();
        }
    }

    /** Called when a statement was rejected, failed or has an unknown outcome; sends the failure to the caller. */
    void onFailed(PendingStatement pending, Failure failure) {
        if (pending.isTransactional()) {
            releaseTransaction();
            transaction = pending.isCommit() ? TransactionState.NONE : TransactionState.FAILED;
        }
        if (current == pending) {
            responseWriter.sendFailure(Optional.of(pending), failure, state());
            finishCurrent();
        }
    }

    private void failTransaction(Failure failure) {
        if (transaction != TransactionState.NONE) {
            releaseTransaction();
            transaction = TransactionState.FAILED;
        }
        sendFailure(failure);
    }

    /** Called when the endpoint connection is no longer reserved, because the transaction has ended or not begun. */
    void onConnectionReleased() {
        transactionConnection = null;
    }

    /** Called when the endpoint connection of the transaction closed while no statement was running. */
    void onTransactionLost() {
        transactionConnection = null;
        if (transaction == TransactionState.OPEN) {
            transaction = TransactionState.LOST;
        }
    }

    /** Rolls back the transaction if the caller has sent no statement for at least {@code timeout}. */
    void abortIfIdle(Duration timeout) {
        boolean idle = current == null && lastActiveAt.plus(timeout).compareTo(loop.now()) <= 0;
        if (idle && (transaction == TransactionState.OPEN || transaction == TransactionState.ANNOUNCED)) {
            releaseTransaction();
            transaction = TransactionState.LOST;
        }
    }

    /** Closes the session if it has neither a running statement nor a transaction. Returns whether it was closed. */
    boolean closeIfIdle() {
        if (current != null || transaction != TransactionState.NONE) {
            return false;
        }
        end();
        line.closeAfterSending();
        return true;
    }

    /** Rolls back the transaction unless one of its statements is in progress. Called when the daemon stops. */
    void abortTransaction() {
        if (current == null && (transaction == TransactionState.OPEN || transaction == TransactionState.ANNOUNCED)) {
            releaseTransaction();
            transaction = TransactionState.LOST;
        }
    }

    private void releaseTransaction() {
        if (transactionConnection != null) {
            EndpointConnection connection = transactionConnection;
            transactionConnection = null;
            connection.rollBack();
        }
    }

    private void finishCurrent() {
        current = null;
        lastActiveAt = loop.now();
        line.resume();
    }

    private void rejectForState() {
        sendFailure(Failure.of(ErrorKind.MALFORMED_REQUEST, "the statement does not fit the state of the session"));
    }

    private void sendFailure(Failure failure) {
        responseWriter.sendFailure(Optional.empty(), failure, state());
    }

    private SessionState state() {
        return switch (transaction) {
            case NONE -> SessionState.IDLE;
            case ANNOUNCED, OPEN, LOST -> SessionState.IN_TRANSACTION;
            case FAILED -> SessionState.FAILED;
        };
    }

    private void rejectAndClose(Failure failure) {
        end();
        responseWriter.sendFailureAndClose(failure);
    }

    @Override
    public void onMalformedLine(boolean tooLong) {
        rejectAndClose(
                tooLong
                        ? Failure.of(ErrorKind.REQUEST_TOO_LARGE, "the message is too long")
                        : Failure.of(ErrorKind.MALFORMED_REQUEST, "the message contains a stray line end"));
    }

    @Override
    public void onClosed(String reason) {
        end();
    }

    private void end() {
        onEnd.run();
        if (current != null) {
            PendingStatement pending = current;
            current = null;
            pending.abandon();
            proxy.dispatcher(pending.route().group()).cancel(pending);
        }
        releaseTransaction();
    }
}
