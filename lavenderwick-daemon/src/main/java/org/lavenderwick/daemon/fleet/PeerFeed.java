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

import org.lavenderwick.core.propagation.FeedProbes;
import org.lavenderwick.core.store.StoreChange;
import org.lavenderwick.core.store.StoreChanges;
import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.daemon.session.FeedProtocol;

/** A subscription to the store changes that another daemon forwards, over one connection. Its methods block. */
final class PeerFeed implements AutoCloseable {

    /** Time to open the connection: a few round trips. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    /**
     * Store changes that the peer sent together.
     *
     * @param complete whether the changes are the entire content, so that everything else was removed
     * @param knownAt monotonic time at which the changes were certainly the newest ones
     * @param age the age by which the peer is judged: the one that it stated, and for the answer to a probe the time
     *     since {@code knownAt}
     */
    record Batch(boolean complete, StoreChanges changes, Duration knownAt, Duration age) {}

    /** The peer took a probe for a line that it does not know, as daemons of earlier versions do. */
    static final class ProbesUnsupportedException extends IOException {

        private static final long serialVersionUID = 1L;

        ProbesUnsupportedException() {
            super("the peer does not answer probes");
        }
    }

    private final Socket socket;
    private final BufferedReader reader;
    private final Function<String, Optional<StoreChange>> decoder;
    private final Consumer<FeedProtocol.Confirmed> onConfirmed;
    private final FeedProbes probes;
    private final MonotonicClock clock;

    private PeerFeed(
            Socket socket,
            BufferedReader in,
            FeedProbes probes,
            MonotonicClock clock,
            Function<String, Optional<StoreChange>> decoder,
            Consumer<FeedProtocol.Confirmed> onConfirmed) {
        this.socket = socket;
        this.reader = in;
        this.probes = probes;
        this.clock = clock;
        this.decoder = decoder;
        this.onConfirmed = onConfirmed;
    }

    /**
     * Connects to a peer and subscribes to all changes after the given revision, including future ones.
     *
     * @param probing whether the peer is expected to answer probes
     * @param onConfirmed receives the confirmations of the peer while {@link #nextBatch} runs
     */
    static PeerFeed open(
            InetSocketAddress peer,
            long afterRevision,
            boolean probing,
            MonotonicClock clock,
            Function<String, Optional<StoreChange>> decoder,
            Consumer<FeedProtocol.Confirmed> onConfirmed)
            throws IOException {
        Socket socket = new Socket();
        try {
            socket.connect(peer, (int) CONNECT_TIMEOUT.toMillis());
            socket.setTcpNoDelay(true);
            FeedProbes probes = probing ? FeedProbes.create(clock.now()) : FeedProbes.unsupported();
            send(socket, FeedProtocol.formatSubscription(afterRevision));
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            return new PeerFeed(socket, in, probes, clock, decoder, onConfirmed);
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

    /** Offers the feed of the daemon at an address to the peer. */
    void offer(InetSocketAddress offered) throws IOException {
        send(socket, FeedProtocol.formatOffer(offered));
    }

    /**
     * Waits for the next batch of changes and returns it; fails if the feed ends or breaks the protocol. The answer to
     * a probe counts as a batch without changes.
     *
     * @param timeout time without data after which the feed fails
     * @throws ProbesUnsupportedException if the peer does not know probes
     */
    Batch nextBatch(Duration timeout) throws IOException {
        if (probes.isDue(clock.now())) {
            send(socket, FeedProtocol.formatProbe(probes.next(clock.now())));
        }
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
            Optional<FeedProtocol.Probed> probed = FeedProtocol.parseProbed(line);
            if (confirmed.isPresent()) {
                onConfirmed.accept(confirmed.get());
                continue;
            }
            if (probed.isPresent()) {
                if (probes.onAnswer(probed.get().probe())) {
                    return answer(probed.get().state());
                }
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
                return batch(
                        complete,
                        new StoreChanges(changes, encoded, end.get().revision()),
                        end.get().age());
            } else if (probes.awaitsFirstAnswer()) {
                throw new ProbesUnsupportedException();
            } else {
                throw new IOException("the peer sent a line that the feed protocol does not define");
            }
        }
    }

    private Batch batch(boolean complete, StoreChanges changes, Duration age) {
        return new Batch(complete, changes, probes.knownAt(age, clock.now()), age);
    }

    private Batch answer(FeedProtocol.BatchEnd state) {
        Duration now = clock.now();
        Duration knownAt = probes.knownAt(state.age(), now);
        return new Batch(false, new StoreChanges(List.of(), List.of(), state.revision()), knownAt, now.minus(knownAt));
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
