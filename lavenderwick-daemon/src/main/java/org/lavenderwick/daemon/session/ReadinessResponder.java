package org.lavenderwick.daemon.session;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

import org.lavenderwick.adapters.session.ReadinessCodec;

/** Answers whether this daemon takes new sessions. */
public final class ReadinessResponder {

    /** Most lines of one question; a longer one is cut off. */
    private static final int MAX_LINES = 100;

    private final ReadinessCodec codec;
    private final BooleanSupplier ready;

    /** Creates an answer that depends on a condition. */
    public ReadinessResponder(ReadinessCodec codec, BooleanSupplier ready) {
        this.codec = codec;
        this.ready = ready;
    }

    void accepted(EventLoop loop, SocketChannel channel) throws IOException {
        Question question = new Question();
        question.connection = LineConnection.accepted(loop, channel, question);
    }

    private final class Question implements LineConnection.Listener {

        private final List<String> lines = new ArrayList<>();
        private LineConnection connection;

        @Override
        public void onConnected() {
            // Accepted connections are connected from the start.
        }

        @Override
        public void onLine(String line) {
            if (!line.isEmpty()) {
                lines.add(line);
                if (lines.size() > MAX_LINES) {
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
