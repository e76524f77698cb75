package org.lavenderwick.daemon.session;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * A connection accepted from another daemon. Its first line either subscribes to the feed of store changes, on which
 * probes, requests for confirmations and offers may follow, or asks for permits, or opens a relayed session. Confined
 * to the traffic thread.
 */
final class IncomingPeerConnection implements LineConnection.Listener {

    private final SessionProxy proxy;
    private final StoreFeed feed;
    private LineConnection line;
    private CallerConnection session;

    IncomingPeerConnection(SessionProxy proxy, StoreFeed feed) {
        this.proxy = proxy;
        this.feed = feed;
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
        if (session != null) {
            session.onLine(text);
            return;
        }
        if (PermitProtocol.isRequest(text)) {
            proxy.operationStart().onPermitRequest(line, text);
            return;
        }
        Optional<Long> knownRevision = FeedProtocol.parseSubscription(text);
        Optional<Long> confirmation = FeedProtocol.parseConfirmationRequest(text);
        Optional<Long> probe = FeedProtocol.parseProbe(text);
        Optional<InetSocketAddress> offer = FeedProtocol.parseOffer(text);
        if (knownRevision.isPresent()) {
            feed.subscribe(line, knownRevision.get());
        } else if (confirmation.isPresent()) {
            feed.confirmLease(line, confirmation.get());
        } else if (probe.isPresent()) {
            feed.answerProbe(line, probe.get());
        } else if (offer.isPresent()) {
            feed.onOffer(offer.get());
        } else {
            RelayProtocol.Opening opening = RelayProtocol.parse(text);
            openSession(opening).onLine(opening.firstLine());
        }
    }

    private CallerConnection openSession(RelayProtocol.Opening opening) {
        session = proxy.newRelayedSession(opening);
        session.attach(line);
        return session;
    }

    @Override
    public void onClosed(String reason) {
        feed.unsubscribe(line);
        if (session != null) {
            session.onClosed(reason);
        }
    }

    @Override
    public void onMalformedLine(boolean tooLong) {
        feed.unsubscribe(line);
        CallerConnection opened = session == null ? openSession(RelayProtocol.parse("")) : session;
        opened.onMalformedLine(tooLong);
    }
}
