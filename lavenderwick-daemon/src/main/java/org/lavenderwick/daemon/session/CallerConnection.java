package org.lavenderwick.daemon.session;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import org.jboss.logging.Logger;
import org.lavenderwick.adapters.session.CallerCodec;
import org.lavenderwick.adapters.session.CallerMessage;
import org.lavenderwick.adapters.session.EndpointCodec;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.catalog.RouteOrigin;

/**
 * A caller's connection. The group of the database named in the first message decides where the session is served: by
 * this daemon, or by an owner of the group to which this daemon relays it. Confined to the traffic thread.
 */
final class CallerConnection implements LineConnection.Listener, RelayedSession.Listener {

    /** Time that an owner has to accept a session before the next owner is tried; allows for several round trips. */
    private static final Duration ACCEPT_TIMEOUT = Duration.ofMillis(250);

    /** Time without a response after which the owner of an accepted session is lost; exceeds any statement timeout. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(4);

    private static final Logger LOG = Logger.getLogger(CallerConnection.class);

    private final SessionProxy proxy;
    private final CallerCodec codec;
    private final EndpointCodec endpointCodec;
    private final EventLoop loop;
    private final boolean relayedFromPeer;
    private final Optional<RouteOrigin> origin;
    private final Deque<Peer> untriedOwners = new ArrayDeque<>();
    private RouteOrigin relayOrigin;
    private LineConnection line;
    private CallerSession localSession;
    private RelayedSession relayedSession;
    private String firstLine;
    private Duration lastRequestAt;

    private CallerConnection(
            SessionProxy proxy,
            CallerCodec codec,
            EndpointCodec endpointCodec,
            EventLoop loop,
            boolean relayedFromPeer,
            Optional<RouteOrigin> origin) {
        this.proxy = proxy;
        this.codec = codec;
        this.endpointCodec = endpointCodec;
        this.loop = loop;
        this.relayedFromPeer = relayedFromPeer;
        this.origin = origin;
    }

    /** Returns the connection of a caller that has not sent any message yet. */
    static CallerConnection ofCaller(
            SessionProxy proxy, CallerCodec codec, EndpointCodec endpointCodec, EventLoop loop) {
        return new CallerConnection(proxy, codec, endpointCodec, loop, false, Optional.empty());
    }

    /**
     * Returns the connection of a session that another daemon relays. It is served here, even if this daemon does not
     * own the group, unless the configuration of this daemon is too old for it.
     *
     * @param origin the configuration by which it is relayed; empty if unknown
     */
    static CallerConnection ofPeer(
            SessionProxy proxy,
            CallerCodec codec,
            EndpointCodec endpointCodec,
            EventLoop loop,
            Optional<RouteOrigin> origin) {
        return new CallerConnection(proxy, codec, endpointCodec, loop, true, origin);
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
        if (localSession != null) {
            localSession.onLine(text);
        } else if (relayedSession != null) {
            lastRequestAt = loop.now();
            relayedSession.forward(text);
        } else {
            openSession(text);
        }
    }

    private void openSession(String text) {
        firstLine = text;
        Optional<String> database = requestedDatabase(text);
        if (origin.isPresent() && origin.get().supersedes(proxy.catalog(), database)) {
            line.send(RelayProtocol.OUTDATED);
            line.closeAfterSending();
            proxy.onSessionEnded(this);
            return;
        }
        if (!relayedFromPeer) {
            database.flatMap(name -> proxy.route(name).toJavaOptional()).ifPresent(route -> {
                relayOrigin = new RouteOrigin(proxy.catalog().orElseThrow().version(), route.group());
                untriedOwners.addAll(proxy.relayCandidates(route.group(), requestedAccount(text)));
            });
        }
        openAtNextOwner();
    }

    private Optional<String> requestedDatabase(String text) {
        CallerMessage message = codec.parse(text).getOrNull();
        return message instanceof CallerMessage.Connect connect ? Optional.of(connect.database()) : Optional.empty();
    }

    private Optional<AccountName> requestedAccount(String text) {
        CallerMessage message = codec.parse(text).getOrNull();
        return message instanceof CallerMessage.Connect connect ? proxy.account(connect) : Optional.empty();
    }

    /** Relays the session to the next owner that can be connected to, or serves it here if no owner is left. */
    private void openAtNextOwner() {
        relayedSession = null;
        while (relayedSession == null && !untriedOwners.isEmpty()) {
            Peer peer = untriedOwners.removeFirst();
            try {
                RelayedSession next = new RelayedSession(endpointCodec, this);
                next.open(loop, peer, relayOrigin, firstLine);
                relayedSession = next;
                lastRequestAt = loop.now();
                // Further lines wait until an owner has accepted the session, because another one may still take over.
                line.pause();
            } catch (IOException e) {
                LOG.debugf(
                        "[session] Could not connect to the owner at %s: %s; trying the next owner, if any.",
                        peer.address(), e.getMessage());
            }
        }
        if (relayedSession == null) {
            localSession = new CallerSession(proxy, codec, loop, () -> proxy.onSessionEnded(this));
            localSession.attach(line);
            localSession.onLine(firstLine);
            line.resume();
        }
    }

    @Override
    public void onResponseLine(String text) {
        line.send(text);
        line.resume();
    }

    @Override
    public void onOwnerLost(boolean accepted) {
        if (!accepted) {
            openAtNextOwner();
            return;
        }
        // Whether a running statement was executed is unknown here. Closing the connection without a response makes no
        // claim about it.
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
            localSession = new CallerSession(proxy, codec, loop, () -> proxy.onSessionEnded(this));
            localSession.attach(line);
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
        } else if (relayedSession != null && relayedSession.isAwaitingResponse()) {
            Duration timeout = relayedSession.isAccepted() ? RESPONSE_TIMEOUT : ACCEPT_TIMEOUT;
            if (lastRequestAt.plus(timeout).compareTo(now) < 0) {
                RelayedSession timedOut = relayedSession;
                timedOut.close();
                onOwnerLost(timedOut.isAccepted());
            }
        }
    }

    /** Closes the session without a response, because its state is unknown after an unexpected error. */
    void abort() {
        line.close();
        onClosed("the daemon closed the session after an unexpected error");
    }

    /** Closes the session if it has neither a running statement nor a transaction, and no request has arrived. */
    void closeIfIdle() {
        line.readArrived();
        if (localSession != null) {
            localSession.closeIfIdle();
        } else if (relayedSession == null || !relayedSession.isBusy()) {
            endRelay();
            line.closeAfterSending();
        }
    }

    /**
     * Rolls back an open transaction with no running statement. A relayed session is closed, whether or not it has a
     * transaction, unless a response is outstanding. Called when the daemon stops.
     */
    void abortTransaction() {
        if (localSession != null) {
            localSession.abortTransaction();
        } else if (relayedSession != null && !relayedSession.isAwaitingResponse()) {
            endRelay();
            line.closeAfterSending();
        }
    }
}
