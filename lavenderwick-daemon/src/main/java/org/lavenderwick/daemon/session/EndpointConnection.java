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
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.statement.ConnectionContext;
import org.lavenderwick.core.statement.SetupStep;

/** One connection to an endpoint. It runs one piece of work at a time. Confined to the traffic thread. */
final class EndpointConnection implements LineConnection.Listener {

    /** What the owner of the connection hears from it. */
    interface Listener {
        void onOpened(EndpointConnection connection);

        /** The connection has ended, while it ran the given work or none. */
        void onClosed(
                EndpointConnection connection, Optional<PendingStatement> running, Optional<EndpointError> refusal);

        /** A statement is sent on the connection. */
        void onRequestSent(EndpointConnection connection);

        /** An answer to any statement has arrived. */
        void onResponse(EndpointConnection connection, EndpointResponse answer);

        /** The work has its answer; the connection stays with its transaction if one is open. */
        void onStatementFinished(EndpointConnection connection, PendingStatement work, EndpointResponse answer);

        /** The work was not sent, as the endpoint refused to prepare the connection for it. */
        void onStatementRejected(EndpointConnection connection, PendingStatement work, EndpointError error);

        /** The connection can take other work. */
        void onIdle(EndpointConnection connection);
    }

    private static final Logger LOG = Logger.getLogger(EndpointConnection.class);

    private final EventLoop loop;
    private final EndpointCodec codec;
    private final EndpointEntry endpoint;
    private final Listener owner;
    private final ConnectionContext context = ConnectionContext.create();
    private final Deque<PendingResponse> exchanges = new ArrayDeque<>();
    private final Duration openedAt;
    private LineConnection line;
    private boolean open;
    private boolean closed;
    private boolean inTransaction;
    private boolean reserved;
    private PendingStatement running;
    private CallerSession holder;
    private boolean releaseWhenDone;

    private EndpointConnection(EventLoop loop, EndpointCodec codec, EndpointEntry endpoint, Listener owner) {
        this.loop = loop;
        this.codec = codec;
        this.endpoint = endpoint;
        this.owner = owner;
        this.openedAt = loop.now();
    }

    static EndpointConnection open(EventLoop loop, EndpointCodec codec, EndpointEntry endpoint, Listener owner)
            throws IOException {
        EndpointConnection connection = new EndpointConnection(loop, codec, endpoint, owner);
        connection.line = LineConnection.connect(loop, endpoint.address(), connection);
        return connection;
    }

    EndpointEntry endpoint() {
        return endpoint;
    }

    ConnectionContext context() {
        return context;
    }

    boolean isOpen() {
        return open && !closed;
    }

    /** Returns whether the connection can take new work. */
    boolean isIdle() {
        return isOpen() && running == null && !reserved && exchanges.isEmpty();
    }

    /** Returns whether the handshake had succeeded, also after the end of the connection. */
    boolean wasOpen() {
        return open;
    }

    boolean isRunning() {
        return running != null;
    }

    Optional<PendingStatement> runningStatement() {
        return Optional.ofNullable(running);
    }

    /** Returns how long ago the connection was begun to be opened. */
    Duration age() {
        return loop.now().minus(openedAt);
    }

    /** Returns when the oldest unanswered statement was sent, or when the connection was begun to be opened. */
    Optional<Duration> pendingSince() {
        if (closed) {
            return Optional.empty();
        }
        if (!open) {
            return Optional.of(openedAt);
        }
        return Optional.ofNullable(exchanges.peekFirst()).map(PendingResponse::sentAt);
    }

    /** Returns the session whose transaction holds the connection. */
    Optional<CallerSession> transactionOwner() {
        return Optional.ofNullable(holder);
    }

    /** Keeps the connection for the transaction of a session. */
    void reserveFor(CallerSession session) {
        holder = session;
    }

    /** Ends the transaction once the running statement is answered, as its caller has left. */
    void rollBackWhenDone() {
        holder = null;
        releaseWhenDone = true;
    }

    private void free() {
        reserved = false;
        holder = null;
        releaseWhenDone = false;
    }

    /** Asks for the state of the endpoint on this idle connection. */
    void requestStatus(Consumer<EndpointResponse> receiver) {
        send(codec.status(), receiver);
    }

    /**
     * Runs work. The first work of a transaction opens it here; the connection is then reserved until it ends.
     *
     * @param after position that the log must hold
     */
    void run(PendingStatement work, Optional<LogPoint> after) {
        running = work;
        reserved = work.isTransactional();
        List<SetupStep> steps = context.switchTo(work.session().context(), work.prepared(), !inTransaction);
        if (steps.isEmpty()) {
            begin(work, after);
            return;
        }
        for (Iterator<SetupStep> rest = steps.iterator(); rest.hasNext(); ) {
            SetupStep step = rest.next();
            boolean last = !rest.hasNext();
            send(codec.setup(step), answer -> {
                if (!answer.succeeded()) {
                    close("the endpoint refused to prepare the connection");
                } else if (last) {
                    begin(work, after);
                }
            });
        }
    }

    private void begin(PendingStatement work, Optional<LogPoint> after) {
        if (!work.isTransactional() || inTransaction) {
            sendStatement(work, inTransaction ? Optional.empty() : after);
            return;
        }
        send(codec.begin(!work.mayWrite(), after), answer -> {
            if (answer.succeeded() && answer.state() == SessionState.IN_TRANSACTION) {
                inTransaction = true;
                sendStatement(work, Optional.empty());
            } else {
                running = null;
                free();
                owner.onStatementRejected(
                        this,
                        work,
                        answer.error().map(EndpointMessage.Error::error).orElse(EndpointError.OTHER));
            }
        });
    }

    private void sendStatement(PendingStatement work, Optional<LogPoint> after) {
        Optional<String> name = work.prepared().flatMap(context::nameOf);
        work.recordSend(loop.now());
        send(codec.statement(work.id(), work.statement(), name, after), answer -> finish(work, answer));
    }

    private void finish(PendingStatement work, EndpointResponse answer) {
        running = null;
        if (inTransaction && answer.state() == SessionState.IDLE) {
            inTransaction = false;
            free();
        }
        answer.error()
                .filter(error -> error.error() == EndpointError.UNKNOWN_PREPARED)
                .ifPresent(error -> work.prepared().ifPresent(context::remove));
        if (answer.state() != SessionState.IDLE && !inTransaction) {
            close("the endpoint reports a transaction that was not opened");
        }
        owner.onStatementFinished(this, work, answer);
        if (releaseWhenDone) {
            rollBack();
        }
    }

    /** Ends the open transaction, if there is one, and makes the connection free for other work. */
    void rollBack() {
        if (closed) {
            return;
        }
        holder = null;
        releaseWhenDone = false;
        if (!inTransaction) {
            free();
            owner.onIdle(this);
            return;
        }
        send(codec.rollback(), answer -> {
            if (answer.state() != SessionState.IDLE) {
                close("the endpoint did not roll back");
                return;
            }
            inTransaction = false;
            free();
            owner.onIdle(this);
        });
    }

    private void send(String text, Consumer<EndpointResponse> receiver) {
        exchanges.addLast(new PendingResponse(loop.now(), receiver));
        owner.onRequestSent(this);
        line.send(text);
    }

    @Override
    public void onConnected() {
        line.send(codec.connect(endpoint.group(), endpoint.name()));
    }

    @Override
    public void onLine(String text) {
        Either<Failure, EndpointMessage> message = codec.parse(text);
        if (message.isLeft()) {
            close(message.getLeft().detail());
        } else if (!open) {
            handshake(message.get());
        } else {
            accept(message.get());
        }
    }

    private void handshake(EndpointMessage message) {
        if (message instanceof EndpointMessage.Ready) {
            open = true;
            owner.onOpened(this);
        } else if (message instanceof EndpointMessage.Error error) {
            end(Optional.of(error.error()));
        } else {
            close("the endpoint answered out of turn");
        }
    }

    private void accept(EndpointMessage message) {
        PendingResponse exchange = exchanges.peekFirst();
        if (exchange == null || !exchange.accept(message)) {
            close("the endpoint answered out of turn");
        } else if (message instanceof EndpointMessage.Ready ready) {
            exchanges.removeFirst();
            EndpointResponse answer = exchange.answer(ready);
            owner.onResponse(this, answer);
            exchange.deliver(answer);
        }
    }

    @Override
    public void onMalformedLine(boolean tooLong) {
        close("the endpoint sent a malformed line");
    }

    @Override
    public void onClosed(String reason) {
        end(Optional.empty());
    }

    /** Closes the connection; whatever runs on it has no answer. */
    void close(String reason) {
        LOG.debugf("[session] Closes a connection to %s: %s.", endpoint.name(), reason);
        end(Optional.empty());
    }

    private void end(Optional<EndpointError> refusal) {
        if (closed) {
            return;
        }
        closed = true;
        line.close();
        Optional<PendingStatement> work = runningStatement();
        running = null;
        owner.onClosed(this, work, refusal);
    }
}
