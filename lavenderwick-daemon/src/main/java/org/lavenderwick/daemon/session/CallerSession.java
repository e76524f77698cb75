package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.lavenderwick.adapters.session.CallerCodec;
import org.lavenderwick.adapters.session.CallerMessage;
import org.lavenderwick.adapters.session.SessionState;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.account.SessionAccess;
import org.lavenderwick.core.account.SessionAccess.Verdict;
import org.lavenderwick.core.catalog.DatabaseRoute;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
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
    private final StatementFactory statements;
    private final SessionContext context = SessionContext.create();
    private LineConnection line;
    private String database;
    private DatabaseAccess access;
    private final SessionTransaction transaction = new SessionTransaction();
    private PendingStatement current;
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
        this.statements = new StatementFactory(this, loop);
        this.lastActiveAt = loop.now();
    }

    void attach(LineConnection connection) {
        line = connection;
        responseWriter.attach(connection);
    }

    /** Returns the client account of the caller; empty if the configuration names none or the database is public. */
    Optional<AccountName> account() {
        return access == null ? Optional.empty() : access.account();
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
        } else if (message.get() instanceof CallerMessage.Connect) {
            rejectAndClose(Failure.of(ErrorKind.MALFORMED_REQUEST, "the session is open already"));
        } else if (message.get() instanceof CallerMessage.Quit) {
            close();
        } else if (database == null) {
            rejectAndClose(Failure.of(ErrorKind.MALFORMED_REQUEST, "the session is not open"));
        } else if (access.check(transaction, true) == Verdict.END) {
            reject(SessionAccess.withdrawn());
        } else if (message.get() instanceof CallerMessage.BadQuery bad) {
            responseWriter.beginRequest("-", database);
            sendFailure(Failure.of(ErrorKind.MALFORMED_REQUEST, bad.reason()));
        } else if (message.get() instanceof CallerMessage.Query query) {
            query(query.id(), query.statement());
        }
    }

    /** Opens the session on a database, or rejects it. */
    void open(DatabaseAccess presented) {
        database = presented.database();
        access = presented;
        presented.open().ifPresentOrElse(this::reject, () -> responseWriter.sendReady(state(), Optional.empty()));
    }

    private void reject(Failure failure) {
        responseWriter.logRejection(database, failure);
        rejectAndClose(failure);
    }

    /**
     * Carries out what the active configuration says about a session whose key may have been withdrawn. A statement
     * that is queued is rejected. One that was sent gets its response, unless its transaction has to be rolled back; a
     * commit that was sent is never cut off, because its outcome would be unknown.
     *
     * @return whether nothing is left to be done; otherwise to be called again soon
     */
    boolean enforceAccess() {
        Verdict verdict = access == null ? Verdict.GRANTED : access.check(transaction, current == null);
        if (verdict == Verdict.GRANTED || verdict == Verdict.FINISH_TRANSACTION) {
            return verdict == Verdict.GRANTED;
        }
        if (current == null) {
            line.readArrived();
            close();
        } else {
            endStatement(current, verdict == Verdict.ROLL_BACK);
        }
        return false;
    }

    private void endStatement(PendingStatement pending, boolean rollBack) {
        boolean queued = cancel(pending);
        Failure rolledBack = Failure.of(ErrorKind.TRANSACTION_ABORTED, "the key gives no access to the transaction");
        if (queued && rollBack) {
            onFailed(pending, rolledBack);
        } else if (queued) {
            reject(SessionAccess.withdrawn());
        } else if (rollBack && !pending.isCommit()) {
            rejectAndClose(rolledBack);
        }
    }

    private void query(String id, Statement statement) {
        responseWriter.beginRequest(id, database);
        if (transaction.state() == TransactionState.LOST && statement.kind() != StatementKind.ROLLBACK) {
            transaction.end(statement.kind() == StatementKind.COMMIT ? TransactionState.NONE : TransactionState.FAILED);
            sendFailure(Failure.of(ErrorKind.TRANSACTION_ABORTED, "the transaction was rolled back"));
            return;
        }
        switch (statement.kind()) {
            case SET, PREPARE, DEALLOCATE -> completeLocally(context.apply(statement));
            case BEGIN, BEGIN_READ_ONLY -> begin(statement.kind() == StatementKind.BEGIN_READ_ONLY);
            case ROLLBACK -> rollBack();
            case COMMIT -> commit(id, statement);
            default -> run(id, statement);
        }
    }

    private void completeLocally(boolean accepted) {
        if (transaction.isFailed()) {
            rejectForState();
        } else if (!accepted) {
            sendFailure(Failure.of(ErrorKind.REQUEST_TOO_LARGE, "the session holds too many values or names"));
        } else {
            responseWriter.sendSuccess(List.of(), "", state(), Optional.empty());
        }
    }

    private void begin(boolean beginReadOnly) {
        if (!transaction.isNone()) {
            rejectForState();
            return;
        }
        beginOperation().ifPresent(route -> {
            transaction.begin(route, beginReadOnly);
            responseWriter.sendSuccess(List.of(), "", state(), Optional.empty());
        });
    }

    private void rollBack() {
        if (transaction.isNone()) {
            rejectForState();
            return;
        }
        transaction.release();
        transaction.end(TransactionState.NONE);
        responseWriter.sendSuccess(List.of(), "", state(), Optional.empty());
    }

    private void commit(String id, Statement statement) {
        if (transaction.isNone()) {
            rejectForState();
        } else if (transaction.isFailed()) {
            transaction.end(TransactionState.NONE);
            sendFailure(Failure.of(ErrorKind.TRANSACTION_ABORTED, "the transaction had failed and is rolled back"));
        } else {
            submit(statements.transactional(
                    id, statement, Optional.empty(), transaction.route(), transaction.isReadOnly()));
        }
    }

    private void run(String id, Statement statement) {
        if (transaction.isFailed()) {
            rejectForState();
            return;
        }
        Optional<PreparedStatement> prepared = context.preparedFor(statement);
        if (statement.kind() == StatementKind.EXECUTE && prepared.isEmpty()) {
            failTransaction(Failure.of(ErrorKind.UNKNOWN_PREPARED_STATEMENT, statement.name()));
            return;
        }
        if (!transaction.isNone()) {
            submit(statements.transactional(id, statement, prepared, transaction.route(), transaction.isReadOnly()));
            return;
        }
        beginOperation().ifPresent(route -> submit(statements.single(id, statement, prepared, route)));
    }

    private void submit(PendingStatement pending) {
        current = pending;
        line.pause();
        if (transaction.connection() == null) {
            proxy.operationStart()
                    .submit(pending, proxy.dispatcher(pending.route().group()));
            return;
        }
        transaction.run(pending, proxy).ifPresent(failure -> onFailed(pending, failure));
    }

    /** Called before a statement is sent to an endpoint; binds a transaction to the connection. */
    void onStarted(PendingStatement pending, EndpointConnection connection) {
        if (pending.isTransactional()) {
            transaction.bind(connection, this);
        }
    }

    /** Called when a statement did not run and was queued again. */
    void onRequeued(PendingStatement pending) {
        if (pending.isTransactional()) {
            transaction.onRequeued();
        }
        if (access.check(transaction, false) != Verdict.GRANTED) {
            // Once the statement is back in the queue, and before it may be sent again.
            loop.execute(this::enforceAccess);
        }
    }

    /** Called when a statement succeeded; sends its result to the caller. */
    void onSucceeded(PendingStatement pending, EndpointResponse response) {
        if (pending.isCommit()) {
            transaction.end(TransactionState.NONE);
        }
        if (pending.commitsWrites()) {
            response.position().ifPresent(statements::recordCommit);
        }
        if (current == pending) {
            responseWriter.sendSuccess(response.rows(), response.digest(), state(), response.position());
            finishCurrent();
        }
    }

    /** Called when a statement was rejected, failed or has an unknown outcome; sends the failure to the caller. */
    void onFailed(PendingStatement pending, Failure failure) {
        proxy.operationStart().onFailed(pending, failure);
        if (pending.isTransactional()) {
            transaction.release();
            transaction.end(pending.isCommit() ? TransactionState.NONE : TransactionState.FAILED);
        }
        if (current == pending) {
            responseWriter.sendFailure(Optional.of(pending), failure, state());
            finishCurrent();
        }
    }

    /** Returns the route of an operation that begins now; empty after rejecting it. */
    private Optional<DatabaseRoute> beginOperation() {
        Either<Failure, DatabaseRoute> route = access.routeForOperation();
        route.peekLeft(this::sendFailure);
        if (proxy.rejectsOperations()) {
            close();
        }
        return route.toJavaOptional();
    }

    private void failTransaction(Failure failure) {
        if (!transaction.isNone()) {
            transaction.release();
            transaction.end(TransactionState.FAILED);
        }
        sendFailure(failure);
    }

    /** Called when the endpoint connection is no longer reserved, because the transaction has ended or not begun. */
    void onConnectionReleased() {
        transaction.onConnectionReleased();
    }

    /** Called when the endpoint connection of the transaction closed while no statement was running. */
    void onTransactionLost() {
        transaction.onConnectionLost();
    }

    /** Rolls back the transaction if the caller has sent no statement for at least {@code timeout}. */
    void abortIfIdle(Duration timeout) {
        if (lastActiveAt.plus(timeout).compareTo(loop.now()) <= 0) {
            abortTransaction();
        }
    }

    /** Returns whether the session has had neither a running statement nor a transaction for a time. */
    boolean isIdleFor(Duration idleTime) {
        return current == null
                && transaction.isNone()
                && loop.now().minus(lastActiveAt).compareTo(idleTime) >= 0;
    }

    /** Rejects the statement in progress if it waits to be sent to an endpoint, because the daemon stops. */
    void rejectQueued() {
        if (current != null && cancel(current)) {
            onFailed(current, StopFailures.of(current, true));
        }
    }

    /** Ends the session, and tells the caller what is known of the statement in progress, because the process ends. */
    void endForStop() {
        rejectQueued();
        if (current != null) {
            current.abandon();
            onFailed(current, StopFailures.of(current, false));
        }
        close();
    }

    private boolean cancel(PendingStatement pending) {
        return proxy.dispatcher(pending.route().group()).cancel(pending);
    }

    /** Rolls back the transaction unless one of its statements is in progress. */
    void abortTransaction() {
        if (current == null && transaction.isOpen()) {
            transaction.lose();
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
        return transaction.sessionState();
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

    /** Ends the session and closes its connection once what is queued is sent. */
    void close() {
        end();
        line.closeAfterSending();
    }

    private void end() {
        onEnd.run();
        if (current != null) {
            PendingStatement pending = current;
            current = null;
            pending.abandon();
            cancel(pending);
        }
        transaction.release();
    }
}
