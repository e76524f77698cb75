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

/**
 * The connection of a caller. Its first message decides whether this daemon serves the session or relays it to an owner
 * of the group. Confined to the traffic thread.
 */
final class CallerConnection implements LineConnection.Listener, RelayedSession.Caller {

    /** Longest time for an owner to accept a session before the next one is tried; some round trips. */
    private static final Duration ACCEPT_LIMIT = Duration.ofMillis(250);

    /** Longest silence of an owner that owes an answer; longer than any statement may take. */
    private static final Duration SILENCE_LIMIT = Duration.ofSeconds(4);

    private static final Logger LOG = Logger.getLogger(CallerConnection.class);

    private final SessionProxy proxy;
    private final CallerCodec codec;
    private final EndpointCodec endpointCodec;
    private final EventLoop loop;
    private final boolean relayedHere;
    private final Deque<Peer> candidates = new ArrayDeque<>();
    private LineConnection line;
    private CallerSession local;
    private RelayedSession relay;
    private String firstLine;
    private Duration waitingSince;

    /**
     * Creates a connection that has not sent anything yet.
     *
     * @param relayedHere whether another daemon relays the session, so that it is served here in any case
     */
    CallerConnection(
            SessionProxy proxy, CallerCodec codec, EndpointCodec endpointCodec, EventLoop loop, boolean relayedHere) {
        this.proxy = proxy;
        this.codec = codec;
        this.endpointCodec = endpointCodec;
        this.loop = loop;
        this.relayedHere = relayedHere;
    }

    void attach(LineConnection connection) {
        line = connection;
    }

    @Override
    public void onConnected() {
        // Accepted connections are connected from the start.
    }

    @Override
    public void onLine(String text) {
        if (local != null) {
            local.onLine(text);
        } else if (relay != null) {
            waitingSince = loop.now();
            relay.pass(text);
        } else {
            begin(text);
        }
    }

    private void begin(String text) {
        firstLine = text;
        if (!relayedHere) {
            database(text)
                    .flatMap(database -> proxy.route(database).toJavaOptional())
                    .ifPresent(route -> candidates.addAll(proxy.owners(route.group())));
        }
        openNext();
    }

    private Optional<String> database(String text) {
        CallerMessage message = codec.parse(text).getOrNull();
        return message instanceof CallerMessage.Connect connect ? Optional.of(connect.database()) : Optional.empty();
    }

    /** Relays the session to the next owner; serves it here if there is none. */
    private void openNext() {
        relay = null;
        while (relay == null && !candidates.isEmpty()) {
            Peer peer = candidates.removeFirst();
            try {
                RelayedSession next = new RelayedSession(endpointCodec, this);
                next.open(loop, peer, firstLine);
                relay = next;
                waitingSince = loop.now();
            } catch (IOException e) {
                LOG.debugf("[session] The owner at %s is out of reach: %s.", peer.address(), e.getMessage());
            }
        }
        if (relay == null) {
            local = new CallerSession(proxy, codec, loop, () -> proxy.ended(this));
            local.attach(line);
            local.onLine(firstLine);
        }
    }

    @Override
    public void answerLine(String text) {
        line.send(text);
    }

    @Override
    public void ownerLost(boolean accepted) {
        if (!accepted) {
            openNext();
            return;
        }
        // Whether the open statement ran is not known here, and a close promises nothing.
        proxy.ended(this);
        line.closeAfterSending();
    }

    @Override
    public void onClosed(String reason) {
        if (local != null) {
            local.onClosed(reason);
        } else {
            endRelay();
        }
    }

    @Override
    public void onMalformedLine(boolean tooLong) {
        if (local == null) {
            endRelay();
            local = new CallerSession(proxy, codec, loop, () -> proxy.ended(this));
            local.attach(line);
        }
        local.onMalformedLine(tooLong);
    }

    private void endRelay() {
        if (relay != null) {
            relay.close();
            relay = null;
        }
        proxy.ended(this);
    }

    /** Ends what has waited too long: an idle transaction, or an owner that does not answer. */
    void tick(Duration now, Duration transactionIdle) {
        if (local != null) {
            local.checkIdle(transactionIdle);
        } else if (relay != null && relay.isWaiting()) {
            Duration limit = relay.isAccepted() ? SILENCE_LIMIT : ACCEPT_LIMIT;
            if (waitingSince.plus(limit).compareTo(now) < 0) {
                RelayedSession silent = relay;
                silent.close();
                ownerLost(silent.isAccepted());
            }
        }
    }

    /** Closes the session if nothing is open in it. */
    void closeIfIdle() {
        if (local != null) {
            local.closeIfIdle();
        } else if (relay == null || !relay.isBusy()) {
            endRelay();
            line.closeAfterSending();
        }
    }

    /** Ends an open transaction that waits for its caller, as the daemon stops. */
    void abortTransaction() {
        if (local != null) {
            local.abortTransaction();
        } else if (relay != null && !relay.isWaiting()) {
            endRelay();
            line.closeAfterSending();
        }
    }
}
