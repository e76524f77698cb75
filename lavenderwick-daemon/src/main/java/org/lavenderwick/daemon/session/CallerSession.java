package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.lavenderwick.adapters.session.CallerCodec;
import org.lavenderwick.adapters.session.CallerMessage;
import org.lavenderwick.adapters.session.SessionState;
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

/** The session of one caller: its values, its transaction and the statement that it waits for. */
final class CallerSession implements LineConnection.Listener {

    private final SessionProxy proxy;
    private final CallerCodec codec;
    private final CallerReplies replies;
    private final EventLoop loop;
    private final Runnable onEnd;
    private final SessionContext context = SessionContext.create();
    private LineConnection line;
    private String database;
    private CallerTransaction transaction = CallerTransaction.NONE;
    private boolean readOnly;
    private DatabaseRoute transactionRoute;
    private EndpointConnection bound;
    private PendingStatement current;
    private Optional<LogPoint> ownCommits = Optional.empty();
    private Duration lastActive;

    /** Creates a session; the last argument runs once it has ended. */
    CallerSession(SessionProxy proxy, CallerCodec codec, EventLoop loop, Runnable onEnd) {
        this.proxy = proxy;
        this.codec = codec;
        this.replies = new CallerReplies(codec, loop, proxy.requestLog());
        this.loop = loop;
        this.onEnd = onEnd;
        this.lastActive = loop.now();
    }

    void attach(LineConnection connection) {
        line = connection;
        replies.attach(connection);
    }

    SessionContext context() {
        return context;
    }

    @Override
    public void onConnected() {
        // Accepted connections are connected from the start.
    }

    @Override
    public void onLine(String text) {
        lastActive = loop.now();
        Either<Failure, CallerMessage> message = codec.parse(text);
        if (message.isLeft()) {
            refuseAndClose(message.getLeft());
        } else if (message.get() instanceof CallerMessage.Connect connect) {
            connect(connect.database());
        } else if (message.get() instanceof CallerMessage.Quit) {
            end();
            line.closeAfterSending();
        } else if (database == null) {
            refuseAndClose(Failure.of(ErrorKind.MALFORMED_REQUEST, "the session is not open"));
        } else if (message.get() instanceof CallerMessage.BadQuery bad) {
            replies.asked("-", database);
            answer(Failure.of(ErrorKind.MALFORMED_REQUEST, bad.reason()));
        } else if (message.get() instanceof CallerMessage.Query query) {
            query(query.id(), query.statement());
        }
    }

    private void connect(String name) {
        if (database != null) {
            refuseAndClose(Failure.of(ErrorKind.MALFORMED_REQUEST, "the session is open already"));
            return;
        }
        Optional<Failure> refusal = proxy.checkDatabase(name);
        if (refusal.isPresent()) {
            refuseAndClose(refusal.get());
            return;
        }
        database = name;
        replies.ready(state(), Optional.empty());
    }

    private void query(String id, Statement statement) {
        replies.asked(id, database);
        if (transaction == CallerTransaction.LOST && statement.kind() != StatementKind.ROLLBACK) {
            transaction = statement.kind() == StatementKind.COMMIT ? CallerTransaction.NONE : CallerTransaction.FAILED;
            answer(Failure.of(ErrorKind.TRANSACTION_ABORTED, "the transaction was rolled back"));
            return;
        }
        switch (statement.kind()) {
            case SET -> local(statement, context.setVariable(statement.name(), statement.operand()));
            case PREPARE -> {
                PreparedStatement prepared =
                        new PreparedStatement(statement.preparedAccess().get(), statement.operand());
                local(statement, context.prepare(statement.name(), prepared));
            }
            case DEALLOCATE -> {
                context.deallocate(statement.name());
                local(statement, true);
            }
            case BEGIN, BEGIN_READ_ONLY -> begin(statement.kind() == StatementKind.BEGIN_READ_ONLY);
            case ROLLBACK -> rollBack();
            case COMMIT -> commit(id, statement);
            default -> run(id, statement);
        }
    }

    private void local(Statement statement, boolean accepted) {
        if (transaction == CallerTransaction.FAILED) {
            outOfState();
        } else if (!accepted) {
            answer(Failure.of(ErrorKind.REQUEST_TOO_LARGE, "the session holds too many values or names"));
        } else {
            replies.success(List.of(), "", state(), Optional.empty());
        }
    }

    private void begin(boolean onlyReads) {
        if (transaction != CallerTransaction.NONE) {
            outOfState();
            return;
        }
        Either<Failure, DatabaseRoute> route = proxy.route(database);
        if (route.isLeft()) {
            answer(route.getLeft());
            return;
        }
        transaction = CallerTransaction.ANNOUNCED;
        readOnly = onlyReads;
        transactionRoute = route.get();
        replies.success(List.of(), "", state(), Optional.empty());
    }

    private void rollBack() {
        if (transaction == CallerTransaction.NONE) {
            outOfState();
            return;
        }
        releaseTransaction();
        transaction = CallerTransaction.NONE;
        replies.success(List.of(), "", state(), Optional.empty());
    }

    private void commit(String id, Statement statement) {
        if (transaction == CallerTransaction.NONE) {
            outOfState();
        } else if (transaction == CallerTransaction.FAILED) {
            transaction = CallerTransaction.NONE;
            answer(Failure.of(ErrorKind.TRANSACTION_ABORTED, "the transaction had failed and is rolled back"));
        } else {
            submit(transactional(id, statement, Optional.empty()));
        }
    }

    private void run(String id, Statement statement) {
        if (transaction == CallerTransaction.FAILED) {
            outOfState();
            return;
        }
        Optional<PreparedStatement> prepared = Optional.empty();
        if (statement.kind() == StatementKind.EXECUTE) {
            prepared = context.prepared(statement.name());
            if (prepared.isEmpty()) {
                failStatement(Failure.of(ErrorKind.UNKNOWN_PREPARED_STATEMENT, statement.name()));
                return;
            }
        }
        if (transaction != CallerTransaction.NONE) {
            submit(transactional(id, statement, prepared));
            return;
        }
        Either<Failure, DatabaseRoute> route = proxy.route(database);
        if (route.isLeft()) {
            answer(route.getLeft());
            return;
        }
        boolean writes = statement.kind() == StatementKind.WRITE
                || prepared.filter(shape -> shape.access() == Access.WRITE).isPresent();
        submit(newWork(id, statement, prepared, route.get(), PendingStatement.Scope.SINGLE, writes));
    }

    private PendingStatement transactional(String id, Statement statement, Optional<PreparedStatement> prepared) {
        return newWork(id, statement, prepared, transactionRoute, PendingStatement.Scope.TRANSACTION, !readOnly);
    }

    private PendingStatement newWork(
            String id,
            Statement statement,
            Optional<PreparedStatement> prepared,
            DatabaseRoute route,
            PendingStatement.Scope scope,
            boolean writes) {
        boolean primary = writes || route.consistency() == ReadConsistency.PRIMARY;
        return new PendingStatement(
                this, id, statement, prepared, route, scope, writes, primary, loop.now(), sessionPoint(route));
    }

    private Optional<LogPoint> sessionPoint(DatabaseRoute route) {
        return route.consistency() == ReadConsistency.READ_YOUR_WRITES ? ownCommits : Optional.empty();
    }

    private void submit(PendingStatement work) {
        current = work;
        line.pause();
        if (bound == null) {
            proxy.dispatcher(work.route().group()).submit(work);
            return;
        }
        work.recordPrimaryWhenSent(proxy.provenPrimary(work.route().group(), bound));
        if (work.commitsWrites() && work.primaryWhenSent().isEmpty()) {
            onFailed(work, Failure.of(ErrorKind.TRANSACTION_ABORTED, "the primary may have been replaced"));
        } else {
            bound.run(work, Optional.empty());
        }
    }

    /** The statement goes to an endpoint. */
    void onStarted(PendingStatement work, EndpointConnection connection) {
        if (work.isTransactional()) {
            bound = connection;
            connection.reserveFor(this);
            transaction = CallerTransaction.OPEN;
        }
    }

    /** The statement did not run and waits again. */
    void onRequeued(PendingStatement work) {
        if (work.isTransactional()) {
            bound = null;
            transaction = CallerTransaction.ANNOUNCED;
        }
    }

    /** The statement succeeded. */
    void onSucceeded(PendingStatement work, EndpointResponse answer) {
        if (work.isCommit()) {
            transaction = CallerTransaction.NONE;
            bound = null;
        }
        if (work.commitsWrites()) {
            answer.position()
                    .ifPresent(point -> ownCommits = Optional.of(
                            ownCommits.map(own -> LogPoint.max(own, point)).orElse(point)));
        }
        if (isCurrent(work)) {
            replies.success(answer.rows(), answer.digest(), state(), answer.position());
            next();
        }
    }

    /** The statement was refused, failed, or its outcome is unknown. */
    void onFailed(PendingStatement work, Failure failure) {
        if (work.isTransactional()) {
            releaseTransaction();
            transaction = work.isCommit() ? CallerTransaction.NONE : CallerTransaction.FAILED;
        }
        if (isCurrent(work)) {
            replies.failure(Optional.of(work), failure, state());
            next();
        }
    }

    private void failStatement(Failure failure) {
        if (transaction != CallerTransaction.NONE) {
            releaseTransaction();
            transaction = CallerTransaction.FAILED;
        }
        answer(failure);
    }

    /** The endpoint connection of the idle transaction has ended. */
    void onTransactionLost() {
        bound = null;
        if (transaction == CallerTransaction.OPEN) {
            transaction = CallerTransaction.LOST;
        }
    }

    /** Rolls the transaction back if the caller has left it idle for too long. */
    void checkIdle(Duration limit) {
        boolean idle = current == null && lastActive.plus(limit).compareTo(loop.now()) <= 0;
        if (idle && (transaction == CallerTransaction.OPEN || transaction == CallerTransaction.ANNOUNCED)) {
            releaseTransaction();
            transaction = CallerTransaction.LOST;
        }
    }

    /** Closes the session if nothing is open in it, and returns whether it did. */
    boolean closeIfIdle() {
        if (current != null || transaction != CallerTransaction.NONE) {
            return false;
        }
        end();
        line.closeAfterSending();
        return true;
    }

    /** Rolls an open transaction back, as the daemon stops. */
    void abortTransaction() {
        if (current == null && (transaction == CallerTransaction.OPEN || transaction == CallerTransaction.ANNOUNCED)) {
            releaseTransaction();
            transaction = CallerTransaction.LOST;
        }
    }

    private void releaseTransaction() {
        if (bound != null) {
            EndpointConnection connection = bound;
            bound = null;
            connection.rollBack();
        }
    }

    private boolean isCurrent(PendingStatement work) {
        return current == work;
    }

    private void next() {
        current = null;
        lastActive = loop.now();
        line.resume();
    }

    private void outOfState() {
        answer(Failure.of(ErrorKind.MALFORMED_REQUEST, "the statement does not fit the state of the session"));
    }

    private void answer(Failure failure) {
        replies.failure(Optional.empty(), failure, state());
    }

    private SessionState state() {
        return switch (transaction) {
            case NONE -> SessionState.IDLE;
            case ANNOUNCED, OPEN, LOST -> SessionState.IN_TRANSACTION;
            case FAILED -> SessionState.FAILED;
        };
    }

    private void refuseAndClose(Failure failure) {
        end();
        replies.lastFailure(failure);
    }

    @Override
    public void onMalformedLine(boolean tooLong) {
        refuseAndClose(
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
            PendingStatement work = current;
            current = null;
            work.abandon();
            proxy.dispatcher(work.route().group()).cancel(work);
            if (bound != null && bound.isRunning()) {
                // The transaction is rolled back, or its commit accepted, once the running statement is answered.
                bound.rollBackWhenDone();
                bound = null;
            }
        }
        releaseTransaction();
    }
}
