package org.lavenderwick.daemon.session;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;

import org.jboss.logging.Logger;
import org.lavenderwick.adapters.session.CallerCodec;
import org.lavenderwick.adapters.session.CallerMessage;
import org.lavenderwick.adapters.session.EndpointCodec;
import org.lavenderwick.adapters.session.SessionState;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.account.KeyFingerprint;
import org.lavenderwick.core.account.SessionAccess;
import org.lavenderwick.core.account.SessionAccess.Verdict;
import org.lavenderwick.core.catalog.DatabaseRoute;
import org.lavenderwick.core.catalog.RouteOrigin;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

/**
 * A caller's connection. The group of the database named in the first message decides where the session is served: by
 * this daemon, or by an owner of the group to which this daemon relays it. Confined to the traffic thread.
 */
final class CallerConnection implements LineConnection.Listener, RelayedSession.Listener {

    private static final Logger LOG = Logger.getLogger(CallerConnection.class);

    private final SessionProxy proxy;
    private final CallerCodec codec;
    private final EndpointCodec endpointCodec;
    private final EventLoop loop;
    private final boolean relayedFromPeer;
    private final Optional<RouteOrigin> origin;
    private final Optional<RelayProtocol.RelayedKey> relayedKey;
    private UntriedOwners untriedOwners = UntriedOwners.none();
    private DatabaseAccess access;
    private LineConnection line;
    private CallerSession localSession;
    private RelayedSession relayedSession;
    private Peer owner;
    private Duration lastActiveAt;
    private boolean unused = true;

    private CallerConnection(
            SessionProxy proxy,
            CallerCodec codec,
            EndpointCodec endpointCodec,
            EventLoop loop,
            boolean relayedFromPeer,
            Optional<RouteOrigin> origin,
            Optional<RelayProtocol.RelayedKey> relayedKey) {
        this.proxy = proxy;
        this.codec = codec;
        this.endpointCodec = endpointCodec;
        this.loop = loop;
        this.relayedFromPeer = relayedFromPeer;
        this.origin = origin;
        this.relayedKey = relayedKey;
        this.lastActiveAt = loop.now();
    }

    /** Returns the connection of a caller that has not sent any message yet. */
    static CallerConnection ofCaller(
            SessionProxy proxy, CallerCodec codec, EndpointCodec endpointCodec, EventLoop loop) {
        return new CallerConnection(proxy, codec, endpointCodec, loop, false, Optional.empty(), Optional.empty());
    }

    /**
     * Returns the connection of a session that another daemon relays. It is served here, even if this daemon does not
     * own the group, unless the configuration of this daemon is too old for it.
     *
     * @param opening the line by which it is relayed
     */
    static CallerConnection ofPeer(
            SessionProxy proxy,
            CallerCodec codec,
            EndpointCodec endpointCodec,
            EventLoop loop,
            RelayProtocol.Opening opening) {
        return new CallerConnection(proxy, codec, endpointCodec, loop, true, opening.origin(), opening.key());
    }

    void attach(LineConnection connection) {
        line = connection;
    }

    @Override
    public void onConnected() {
        // Never called: an accepted connection is already open.
    }

    @Override
    public void onLine(String text) {
        if (localSession == null && relayedSession == null) {
            openSession(text);
            return;
        }
        unused = false;
        if (localSession != null) {
            localSession.onLine(text);
        } else {
            forward(text);
        }
    }

    private void forward(String text) {
        if (access.checkRelayed(relayedSession.isInTransaction()) == Verdict.END) {
            endRelay();
            CallerResponseWriter writer = newWriter();
            writer.logRejection(access.database(), SessionAccess.withdrawn());
            writer.sendFailureAndClose(SessionAccess.withdrawn());
            return;
        }
        if (isOwnerGone()) {
            rejectAndEndRelay(
                    text,
                    Failure.of(ErrorKind.OWNER_UNREACHABLE, "the owner of the session does not respond, retry now"));
            return;
        }
        if (proxy.rejectsOperations() && !relayedSession.isAwaitingResponse()) {
            // The owner rolls an open transaction back when the connection to it closes.
            rejectAndEndRelay(
                    text, relayedSession.isInTransaction() ? StopFailures.TRANSACTION : StopFailures.OPERATION);
            return;
        }
        lastActiveAt = loop.now();
        proxy.unresponsiveOwners().onRequestSent(owner, lastActiveAt);
        relayedSession.forward(text);
    }

    /**
     * Returns whether the owner of an idle session of an account does not respond. A statement that is not forwarded to
     * it can be rejected as not run, and the caller's next session is opened at another owner.
     */
    private boolean isOwnerGone() {
        return access.account().isPresent()
                && !relayedSession.isBusy()
                && proxy.unresponsiveOwners().isUnresponsive(owner, loop.now());
    }

    private void rejectAndEndRelay(String text, Failure failure) {
        endRelay();
        if (codec.parse(text).getOrNull() instanceof CallerMessage.Query query) {
            sendFailure(query.id(), failure);
        }
        line.closeAfterSending();
    }

    private CallerResponseWriter newWriter() {
        CallerResponseWriter writer = new CallerResponseWriter(codec, loop, proxy.requestLog());
        writer.attach(line);
        return writer;
    }

    private void sendFailure(String id, Failure failure) {
        CallerResponseWriter writer = newWriter();
        writer.beginRequest(id, access.database());
        writer.sendFailure(Optional.empty(), failure, SessionState.IDLE);
    }

    private void openSession(String text) {
        if (codec.parse(text).getOrNull() instanceof CallerMessage.Connect connect) {
            // The key itself is not kept.
            access = proxy.newAccess(
                    connect.database(),
                    relayedKey
                            .map(RelayProtocol.RelayedKey::fingerprint)
                            .orElseGet(() -> KeyFingerprint.ofKey(connect.credential())));
        }
        if (origin.isPresent() && (isOutdated(origin.get()) || proxy.rejectsOperations())) {
            // The daemon that relays the session goes on to the next owner.
            line.send(RelayProtocol.OUTDATED);
            line.closeAfterSending();
            proxy.onSessionEnded(this);
        } else if (access == null) {
            newLocalSession().onLine(text);
        } else {
            if (!relayedFromPeer && access.open().isEmpty()) {
                untriedOwners = UntriedOwners.find(proxy, codec, access, text, loop.now());
            }
            openAtNextOwner();
        }
    }

    /** Returns whether this daemon knows less than the one that relays the session, and would decide otherwise. */
    private boolean isOutdated(RouteOrigin relayedBy) {
        if (relayedBy.supersedes(proxy.catalog(), Optional.ofNullable(access).map(DatabaseAccess::database))) {
            return true;
        }
        Optional<AccountName> account = relayedKey.flatMap(RelayProtocol.RelayedKey::account);
        return access != null
                && proxy.catalog().orElseThrow().version() < relayedBy.version()
                && !access.rules().grant(access.key()).contains(account);
    }

    private CallerSession newLocalSession() {
        localSession = new CallerSession(proxy, codec, loop, () -> proxy.onSessionEnded(this));
        localSession.attach(line);
        return localSession;
    }

    /** Relays the session to the next owner that can be connected to, or serves it here if no owner is left. */
    private void openAtNextOwner() {
        relayedSession = null;
        for (Optional<Peer> next = untriedOwners.next(); next.isPresent(); next = untriedOwners.next()) {
            if (openAt(next.get())) {
                return;
            }
        }
        newLocalSession().open(access);
        line.resume();
    }

    /** Starts to open the session at an owner; returns false if the connection fails at once. */
    private boolean openAt(Peer peer) {
        RelayedSession opened = new RelayedSession(endpointCodec, this);
        try {
            opened.open(loop, peer, untriedOwners.opening());
        } catch (IOException e) {
            LOG.debugf(
                    "[session] Could not connect to the owner at %s: %s; trying the next owner, if any.",
                    peer.address(), e.getMessage());
            return false;
        }
        relayedSession = opened;
        owner = peer;
        lastActiveAt = loop.now();
        proxy.unresponsiveOwners().onRequestSent(owner, lastActiveAt);
        // Further lines wait until an owner has accepted the session, because another one may still take over.
        line.pause();
        return true;
    }

    @Override
    public void onResponseLine(String text) {
        lastActiveAt = loop.now();
        untriedOwners = UntriedOwners.none();
        proxy.unresponsiveOwners().onResponse(owner);
        line.send(text);
        line.resume();
    }

    @Override
    public void onOwnerLost(boolean accepted) {
        if (!accepted) {
            openAtNextOwner();
            return;
        }
        if (relayedSession.isRejected()) {
            newWriter().sendReady(SessionState.IDLE, Optional.empty());
        }
        // Otherwise it is unknown here whether a running statement was executed. Closing the connection without a
        // response makes no claim about it.
        proxy.onSessionEnded(this);
        line.closeAfterSending();
    }

    @Override
    public void onClosed(String reason) {
        if (localSession != null) {
            localSession.onClosed(reason);
        } else {
            endRelay();
        }
    }

    @Override
    public void onMalformedLine(boolean tooLong) {
        if (localSession == null) {
            endRelay();
            newLocalSession();
        }
        localSession.onMalformedLine(tooLong);
    }

    private void endRelay() {
        if (relayedSession != null) {
            relayedSession.close();
            relayedSession = null;
        }
        proxy.onSessionEnded(this);
    }

    /**
     * Rolls back a transaction that has been idle for too long, and gives up an owner that has not responded in time.
     *
     * @param transactionIdleTimeout time without a statement after which a transaction is rolled back
     */
    void checkTimeouts(Duration now, Duration transactionIdleTimeout) {
        if (localSession != null) {
            localSession.abortIfIdle(transactionIdleTimeout);
        } else if (relayedSession != null
                && relayedSession.isOverdue(now.minus(lastActiveAt), this::statementTimeout)) {
            RelayedSession timedOut = relayedSession;
            timedOut.close();
            onOwnerLost(timedOut.isAccepted());
        }
    }

    private Duration statementTimeout() {
        return proxy.routes().find(access.database()).fold(unknown -> Duration.ZERO, DatabaseRoute::statementTimeout);
    }

    /**
     * Ends the session if the active configuration gives its key no access, once no response is outstanding.
     *
     * @return whether nothing is left to be done; otherwise to be called again soon
     */
    boolean enforceAccess() {
        if (localSession != null) {
            return localSession.enforceAccess();
        }
        if (relayedSession == null) {
            return true;
        }
        Verdict verdict = access.checkRelayed(relayedSession.isInTransaction());
        if (verdict == Verdict.END && !relayedSession.isAwaitingResponse()) {
            line.readArrived();
            if (relayedSession != null) {
                endRelay();
                line.closeAfterSending();
            }
        }
        return verdict == Verdict.GRANTED;
    }

    /** Closes the session without a response, because its state is unknown after an unexpected error. */
    void abort() {
        line.close();
        onClosed("the daemon closed the session after an unexpected error");
    }

    /** Returns whether the caller has sent nothing yet but the line that opens the session. */
    boolean isUnused() {
        return unused;
    }

    /** Closes the session if it has had neither a running statement nor a transaction for a time. */
    void closeIfIdle(Duration idleTime) {
        line.readArrived();
        if (localSession != null) {
            closeLocalIfIdle(idleTime);
        } else if ((relayedSession == null || !relayedSession.isBusy())
                && loop.now().minus(lastActiveAt).compareTo(idleTime) >= 0) {
            endRelay();
            line.closeAfterSending();
        }
    }

    private void closeLocalIfIdle(Duration idleTime) {
        if (!localSession.isIdleFor(idleTime)) {
            return;
        }
        if (relayedFromPeer) {
            // A request that the other daemon has sent meanwhile is not read any more, so it does not run.
            line.send(codec.error(StopFailures.OPERATION));
        }
        localSession.close();
    }

    /** Rejects a statement that has not been sent to an endpoint; the owner of a relayed session decides for itself. */
    void rejectQueued() {
        if (localSession != null) {
            localSession.rejectQueued();
        }
    }

    /** Ends the session with an answer to the request in progress, if there is one, because the process ends. */
    void endForStop() {
        line.readArrived();
        if (localSession != null) {
            localSession.endForStop();
            return;
        }
        boolean isRequestInProgress =
                relayedSession != null && relayedSession.isAwaitingResponse() && relayedSession.isAccepted();
        endRelay();
        if (isRequestInProgress) {
            sendFailure("-", StopFailures.UNKNOWN);
        }
        line.closeAfterSending();
    }

    /**
     * Rolls back an open transaction with no running statement. That of a relayed session ends with its next statement,
     * which is rejected, because the caller would not learn why its connection is closed.
     */
    void abortTransaction() {
        if (localSession != null) {
            localSession.abortTransaction();
        }
    }
}
