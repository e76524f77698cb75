package org.lavenderwick.daemon.session;

import java.util.Optional;

/** The connection of another daemon: its first line asks for the feed of the fleet or begins a relayed session. */
final class PeerConnection implements LineConnection.Listener {

    private final SessionProxy proxy;
    private final FleetFeed feed;
    private LineConnection line;
    private CallerConnection session;

    PeerConnection(SessionProxy proxy, FleetFeed feed) {
        this.proxy = proxy;
        this.feed = feed;
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
        Optional<Long> known = session == null ? FeedProtocol.parseSubscription(text) : Optional.empty();
        if (known.isPresent()) {
            feed.follow(line, known.get());
        } else {
            session().onLine(text);
        }
    }

    private CallerConnection session() {
        if (session == null) {
            session = proxy.newSession(true);
            session.attach(line);
        }
        return session;
    }

    @Override
    public void onClosed(String reason) {
        feed.forget(line);
        if (session != null) {
            session.onClosed(reason);
        }
    }

    @Override
    public void onMalformedLine(boolean tooLong) {
        feed.forget(line);
        session().onMalformedLine(tooLong);
    }
}
