package org.lavenderwick.daemon.session;

import java.io.IOException;
import java.time.Duration;
import java.util.function.Supplier;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.session.EndpointCodec;
import org.lavenderwick.adapters.session.EndpointError;
import org.lavenderwick.adapters.session.EndpointMessage;
import org.lavenderwick.adapters.session.SessionState;
import org.lavenderwick.core.error.Failure;

/**
 * A caller's session that is served by an owner of its group. Lines are forwarded unchanged in both directions.
 * Responses are parsed only to track whether the session may be closed. Confined to the traffic thread.
 */
final class RelayedSession {

    private static final Logger LOG = Logger.getLogger(RelayedSession.class);

    /** Time that an owner has to accept a session before the next owner is tried; allows for several round trips. */
    private static final Duration ACCEPT_TIMEOUT = Duration.ofMillis(250);

    /** Shortest time without a response after which the owner of an accepted session is lost. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);

    /** Time for the owner to answer a statement whose own timeout is over. */
    private static final Duration RESPONSE_MARGIN = Duration.ofSeconds(1);

    /** Receives the owner's response lines and the loss of the owner. */
    interface Listener {
        /** Called for each line that the owner sends. */
        void onResponseLine(String line);

        /**
         * Called when the connection to the owner could not be opened, or has failed or been closed by the owner.
         *
         * @param accepted whether the owner has sent any response; if not, the session may be opened at another owner
         */
        void onOwnerLost(boolean accepted);
    }

    private final EndpointCodec codec;
    private final Listener listener;
    private LineConnection owner;
    private boolean accepted;
    private boolean awaitingResponse = true;
    private boolean inTransaction;
    private boolean opened;
    private boolean rejected;

    RelayedSession(EndpointCodec codec, Listener listener) {
        this.codec = codec;
        this.listener = listener;
    }

    /**
     * Starts to connect to an owner and queues the line that opens the session there, see {@link RelayProtocol}.
     */
    void open(EventLoop loop, Peer peer, String opening) throws IOException {
        owner = LineConnection.connect(loop, peer.address(), new OwnerListener());
        owner.send(opening);
    }

    /** Forwards a line of the caller to the owner. */
    void forward(String line) {
        awaitingResponse = true;
        owner.send(line);
    }

    /** Returns whether a response of the owner is outstanding. */
    boolean isAwaitingResponse() {
        return awaitingResponse;
    }

    /**
     * Returns whether a response is outstanding for longer than the owner may take. It answers each statement once the
     * timeout of the statement is over.
     *
     * @param waited time since the last line from or to the owner
     * @param statementTimeout returns the timeout of statements on the database of the session
     */
    boolean isOverdue(Duration waited, Supplier<Duration> statementTimeout) {
        if (!awaitingResponse || !accepted) {
            return awaitingResponse && waited.compareTo(ACCEPT_TIMEOUT) > 0;
        }
        return waited.compareTo(RESPONSE_TIMEOUT) > 0
                && waited.compareTo(statementTimeout.get().plus(RESPONSE_MARGIN)) > 0;
    }

    /** Returns whether the owner has sent any response. */
    boolean isAccepted() {
        return accepted;
    }

    /** Returns whether a transaction was open at the last response of the owner. */
    boolean isInTransaction() {
        return inTransaction;
    }

    /**
     * Returns whether the request in progress, which is not part of a transaction, was rejected as not run because the
     * owner is busy or stops, and only the line that ends the response is missing.
     */
    boolean isRejected() {
        return rejected;
    }

    /** Returns whether a response is outstanding or a transaction is open. */
    boolean isBusy() {
        return awaitingResponse || inTransaction;
    }

    /** Closes the connection to the owner without calling the listener. */
    void close() {
        owner.close();
    }

    private final class OwnerListener implements LineConnection.Listener {

        @Override
        public void onConnected() {
            // Nothing to do: the first line is already queued.
        }

        @Override
        public void onLine(String line) {
            if (!accepted && line.equals(RelayProtocol.OUTDATED)) {
                owner.close();
                listener.onOwnerLost(false);
                return;
            }
            Either<Failure, EndpointMessage> message = codec.parse(line);
            boolean isRejection = message.isRight()
                    && message.get() instanceof EndpointMessage.Error error
                    && error.error() == EndpointError.OVERLOADED;
            if (isRejection && !awaitingResponse) {
                // The owner stops and is about to close the idle session, which needs no response.
                return;
            }
            // Another error without an end of the response ends the session by itself, such as that of a withdrawn key.
            rejected = isRejection && opened && !inTransaction;
            // Any response is forwarded to the caller, even an error. The session must not be opened at another
            // owner after that, since the caller would receive a second response.
            accepted = true;
            if (message.isRight() && message.get() instanceof EndpointMessage.Ready ready) {
                opened = true;
                awaitingResponse = false;
                inTransaction = ready.state() != SessionState.IDLE;
            }
            listener.onResponseLine(line);
        }

        @Override
        public void onClosed(String reason) {
            LOG.debugf("[session] The connection of a relayed session to its owner ended: %s.", reason);
            listener.onOwnerLost(accepted);
        }

        @Override
        public void onMalformedLine(boolean tooLong) {
            owner.close();
            listener.onOwnerLost(accepted);
        }
    }
}
