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
import java.util.function.Consumer;
import java.util.function.Function;

import org.lavenderwick.core.store.StoreChange;
import org.lavenderwick.core.store.StoreChanges;
import org.lavenderwick.daemon.session.FeedProtocol;

/** A subscription to the store changes that another daemon forwards, over one connection. Its methods block. */
final class PeerFeed implements AutoCloseable {

    /** Time to open the connection: a few round trips. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    /**
     * Store changes that the peer sent together.
     *
     * @param complete whether the changes are the entire content, so that everything else was removed
     * @param age time since the changes were last known to be the newest ones
     */
    record Batch(boolean complete, StoreChanges changes, Duration age) {}

    private final Socket socket;
    private final BufferedReader reader;
    private final Function<String, Optional<StoreChange>> decoder;
    private final Consumer<FeedProtocol.Confirmed> onConfirmed;

    private PeerFeed(
            Socket socket,
            BufferedReader in,
            Function<String, Optional<StoreChange>> decoder,
            Consumer<FeedProtocol.Confirmed> onConfirmed) {
        this.socket = socket;
        this.reader = in;
        this.decoder = decoder;
        this.onConfirmed = onConfirmed;
    }

    /**
     * Connects to a peer and subscribes to all changes after the given revision, including future ones.
     *
     * @param onConfirmed receives the confirmations of the peer while {@link #nextBatch} runs
     */
    static PeerFeed open(
            InetSocketAddress peer,
            long afterRevision,
            Function<String, Optional<StoreChange>> decoder,
            Consumer<FeedProtocol.Confirmed> onConfirmed)
            throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(peer, (int) CONNECT_TIMEOUT.toMillis());
            socket.setTcpNoDelay(true);
            send(socket, FeedProtocol.formatSubscription(afterRevision));
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            return new PeerFeed(socket, in, decoder, onConfirmed);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    private static void send(Socket socket, String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Requests a confirmation from the peer. May be called from any thread. */
    void requestConfirmation(long request) throws IOException {
        send(socket, FeedProtocol.formatConfirmationRequest(request));
    }

    /**
     * Waits for the next batch of changes and returns it; fails if the feed ends or breaks the protocol.
     *
     * @param timeout time without data after which the feed fails
     */
    Batch nextBatch(Duration timeout) throws IOException {
        socket.setSoTimeout((int) timeout.toMillis());
        List<StoreChange> changes = new ArrayList<>();
        List<String> encoded = new ArrayList<>();
        boolean complete = false;
        while (true) {
            String line = reader.readLine();
            if (line == null) {
                throw new IOException("the peer closed the feed");
            }
            Optional<FeedProtocol.Confirmed> confirmed = FeedProtocol.parseConfirmed(line);
            if (confirmed.isPresent()) {
                onConfirmed.accept(confirmed.get());
                continue;
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
                throw new IOException("the peer sent a line that the feed protocol does not define");
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
