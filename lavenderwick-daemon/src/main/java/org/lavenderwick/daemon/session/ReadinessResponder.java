package org.lavenderwick.daemon.session;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

import org.lavenderwick.adapters.session.ReadinessCodec;

/** Responds to readiness probes: whether this daemon accepts new sessions. */
public final class ReadinessResponder {

    /** Maximum lines of one probe; the connection of a longer probe is closed. */
    private static final int MAX_PROBE_LINES = 100;

    private final ReadinessCodec codec;
    private final BooleanSupplier ready;

    /**
     * Creates a responder.
     *
     * @param ready returns whether this daemon accepts new sessions; evaluated for each probe
     */
    public ReadinessResponder(ReadinessCodec codec, BooleanSupplier ready) {
        this.codec = codec;
        this.ready = ready;
    }

    /** Serves the probes of an accepted connection. */
    void handle(EventLoop loop, SocketChannel channel) throws IOException {
        ProbeConnection probe = new ProbeConnection();
        probe.connection = LineConnection.accepted(loop, channel, probe);
    }

    private final class ProbeConnection implements LineConnection.Listener {

        private final List<String> lines = new ArrayList<>();
        private LineConnection connection;

        @Override
        public void onConnected() {
            // Never called: an accepted connection is already open.
        }

        @Override
        public void onLine(String line) {
            if (!line.isEmpty()) {
                lines.add(line);
                if (lines.size() > MAX_PROBE_LINES) {
                    connection.close();
                }
                return;
            }
            codec.answer(lines, ready.getAsBoolean()).forEach(connection::send);
            lines.clear();
        }

        @Override
        public void onClosed(String reason) {
            lines.clear();
        }

        @Override
        public void onMalformedLine(boolean tooLong) {
            connection.close();
        }
    }
}
