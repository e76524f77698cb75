package org.lavenderwick.daemon.session;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.jboss.logging.Logger;
import org.lavenderwick.core.model.DaemonName;

/**
 * The connections of this daemon to grantors, one for each daemon, opened when a line is sent and closed when idle.
 * Confined to the traffic thread.
 */
final class PermitConnections {

    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(20);

    private static final Logger LOG = Logger.getLogger(PermitConnections.class);

    private final EventLoop loop;
    private final BiConsumer<DaemonName, String> onLine;
    private final Consumer<DaemonName> onLost;
    private final Map<DaemonName, Connection> connections = new HashMap<>();

    /**
     * Creates an instance without connections.
     *
     * @param onLine receives each line with its sender
     * @param onLost receives each daemon to which the connection has failed or was closed
     */
    PermitConnections(EventLoop loop, BiConsumer<DaemonName, String> onLine, Consumer<DaemonName> onLost) {
        this.loop = loop;
        this.onLine = onLine;
        this.onLost = onLost;
    }

    /** Sends a line to a daemon; returns false if no connection can be opened. */
    boolean send(DaemonName daemon, Peer peer, String line) {
        Connection connection = connections.get(daemon);
        if (connection == null || !connection.peer.equals(peer)) {
            if (connection != null) {
                connection.line.close();
            }
            connection = new Connection(daemon, peer);
            try {
                connection.line = LineConnection.connect(loop, peer.address(), connection);
            } catch (IOException e) {
                LOG.debugf("[limits] Could not connect to the grantor %s: %s", daemon, e.getMessage());
                return false;
            }
            connections.put(daemon, connection);
        }
        connection.usedAt = loop.now();
        connection.line.send(line);
        return true;
    }

    /** Closes idle connections. */
    void tick(Duration now) {
        for (Connection connection : List.copyOf(connections.values())) {
            if (connection.usedAt.plus(IDLE_TIMEOUT).compareTo(now) < 0) {
                connection.line.close();
                connection.end();
            }
        }
    }

    private final class Connection implements LineConnection.Listener {
        private final DaemonName daemon;
        private final Peer peer;
        private LineConnection line;
        private Duration usedAt;

        private Connection(DaemonName daemon, Peer peer) {
            this.daemon = daemon;
            this.peer = peer;
        }

        @Override
        public void onConnected() {
            // The first line is already queued.
        }

        @Override
        public void onLine(String text) {
            onLine.accept(daemon, text);
        }

        @Override
        public void onClosed(String reason) {
            end();
        }

        @Override
        public void onMalformedLine(boolean tooLong) {
            line.close();
            end();
        }

        private void end() {
            if (connections.remove(daemon, this)) {
                onLost.accept(daemon);
            }
        }
    }
}
