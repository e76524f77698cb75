package org.lavenderwick.daemon.session;

import java.io.IOException;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.session.EndpointCodec;
import org.lavenderwick.adapters.session.EndpointMessage;
import org.lavenderwick.adapters.session.SessionState;
import org.lavenderwick.core.error.Failure;

/**
 * A session whose statements an owner of its group serves. Lines pass unchanged in both directions; the answers are
 * read only to know whether the session may be closed. Confined to the traffic thread.
 */
final class RelayedSession {

    private static final Logger LOG = Logger.getLogger(RelayedSession.class);

    /** What the session at this end hears of the owner. */
    interface Caller {
        void answerLine(String line);

        /** The owner is out of reach; nothing was passed on if the session had not been accepted. */
        void ownerLost(boolean accepted);
    }

    private final EndpointCodec codec;
    private final Caller caller;
    private LineConnection owner;
    private boolean accepted;
    private boolean waiting = true;
    private boolean inTransaction;

    RelayedSession(EndpointCodec codec, Caller caller) {
        this.codec = codec;
        this.caller = caller;
    }

    /** Starts to open the session at an owner, with the caller's own first line. */
    void open(EventLoop loop, Peer peer, String firstLine) throws IOException {
        owner = LineConnection.connect(loop, peer.address(), new Owner());
        owner.send(firstLine);
    }

    /** Passes a line of the caller on. */
    void pass(String line) {
        waiting = true;
        owner.send(line);
    }

    /** Returns whether the caller waits for an answer. */
    boolean isWaiting() {
        return waiting;
    }

    /** Returns whether the owner has answered the first line. */
    boolean isAccepted() {
        return accepted;
    }

    /** Returns whether an answer is owed or a transaction is open. */
    boolean isBusy() {
        return waiting || inTransaction;
    }

    void close() {
        owner.close();
    }

    private final class Owner implements LineConnection.Listener {

        @Override
        public void onConnected() {
            // The first line is queued already.
        }

        @Override
        public void onLine(String line) {
            Either<Failure, EndpointMessage> message = codec.parse(line);
            // Any answer, a refusal too, is the caller's: no other owner may answer after it.
            accepted = true;
            if (message.isRight() && message.get() instanceof EndpointMessage.Ready ready) {
                waiting = false;
                inTransaction = ready.state() != SessionState.IDLE;
            }
            caller.answerLine(line);
        }

        @Override
        public void onClosed(String reason) {
            LOG.debugf("[session] An owner closed a relayed session: %s.", reason);
            caller.ownerLost(accepted);
        }

        @Override
        public void onMalformedLine(boolean tooLong) {
            owner.close();
            caller.ownerLost(accepted);
        }
    }
}
