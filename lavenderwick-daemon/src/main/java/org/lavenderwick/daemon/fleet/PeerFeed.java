package org.lavenderwick.daemon.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.lavenderwick.core.store.StoreChange;
import org.lavenderwick.core.store.StoreChanges;
import org.lavenderwick.daemon.session.FeedProtocol;

/** What another daemon knows of the store, over one connection. Blocks its thread. */
final class PeerFeed implements AutoCloseable {

    /** Longest time to open the connection: a few round trips. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    /** Longest silence: three times the interval at which a peer speaks at least. */
    private static final Duration SILENCE_LIMIT = Duration.ofMillis(1500);

    /**
     * Changes that came together.
     *
     * @param complete whether the changes are everything, so that whatever they lack has been removed
     * @param age time since the store was last known to have no later change
     */
    record Batch(boolean complete, StoreChanges changes, Duration age) {}

    private final Socket socket;
    private final BufferedReader in;
    private final Function<String, Optional<StoreChange>> decoder;

    private PeerFeed(Socket socket, BufferedReader in, Function<String, Optional<StoreChange>> decoder) {
        this.socket = socket;
        this.in = in;
        this.decoder = decoder;
    }

    /** Asks a peer for what it knows beyond a revision and for each change after it. */
    static PeerFeed open(InetSocketAddress peer, long known, Function<String, Optional<StoreChange>> decoder)
            throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(peer, (int) CONNECT_TIMEOUT.toMillis());
            socket.setSoTimeout((int) SILENCE_LIMIT.toMillis());
            socket.getOutputStream()
                    .write((FeedProtocol.formatSubscription(known) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            return new PeerFeed(socket, in, decoder);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Returns the next batch. */
    Batch next() throws IOException {
        List<StoreChange> changes = new ArrayList<>();
        List<String> encoded = new ArrayList<>();
        boolean complete = false;
        while (true) {
            String line = in.readLine();
            if (line == null) {
                throw new IOException("the peer has ended the feed");
            }
            Optional<String> text = FeedProtocol.parseChange(line);
            Optional<FeedProtocol.BatchEnd> end = FeedProtocol.parseBatchEnd(line);
            if (line.equals(FeedProtocol.SNAPSHOT_START)) {
                complete = true;
            } else if (text.isPresent()) {
                decoder.apply(text.get()).ifPresent(change -> {
                    changes.add(change);
                    encoded.add(text.get());
                });
            } else if (end.isPresent()) {
                return new Batch(
                        complete,
                        new StoreChanges(changes, encoded, end.get().revision()),
                        end.get().age());
            } else {
                throw new IOException("the peer sent a line that is no part of a feed");
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
