package org.lavenderwick.daemon.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import org.jboss.logging.Logger;
import org.lavenderwick.core.store.StoreChange;
import org.lavenderwick.core.time.MonotonicClock;

/** The task of the thread that reads store changes from the feeds of other daemons, one feed at a time. */
final class FeedReader implements Runnable, AutoCloseable {

    /** Time until the next look for a feed if there is none to read. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

    /**
     * Time for which a daemon that does not know probes gets none. It may be replaced by one of a later version at the
     * same address.
     */
    private static final Duration UNSUPPORTED_MEMORY = Duration.ofSeconds(30);

    private static final Logger LOG = Logger.getLogger(FeedReader.class);

    private final InetSocketAddress self;
    private final ChangeInbox inbox;
    private final Function<String, Optional<StoreChange>> decoder;
    private final LeaseConfirmations confirmations;
    private final MonotonicClock clock;
    private final Map<InetSocketAddress, Duration> notProbedUntil = new HashMap<>();
    private volatile Optional<PeerFeed> current = Optional.empty();

    /**
     * Creates a reader.
     *
     * @param self the address of this daemon for others
     * @param decoder decodes a change that another daemon forwarded
     * @param confirmations uses the feed that is being read
     */
    FeedReader(
            InetSocketAddress self,
            ChangeInbox inbox,
            Function<String, Optional<StoreChange>> decoder,
            LeaseConfirmations confirmations,
            MonotonicClock clock) {
        this.self = self;
        this.inbox = inbox;
        this.decoder = decoder;
        this.confirmations = confirmations;
        this.clock = clock;
    }

    @Override
    public void run() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                Optional<InetSocketAddress> feed = inbox.selectFeed();
                if (feed.isPresent()) {
                    read(feed.get());
                } else {
                    Thread.sleep(POLL_INTERVAL.toMillis());
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes the feed that is being read, which an interrupt does not end. May be called from any thread. */
    @Override
    public void close() {
        current.ifPresent(feed -> {
            try {
                feed.close();
            } catch (IOException e) {
                LOG.debugf("[fleet] Failed to close a feed: %s", e.getMessage());
            }
        });
    }

    /** Reads a feed until it fails, is too old, or another feed is preferred. */
    private void read(InetSocketAddress source) {
        notProbedUntil.values().removeIf(until -> until.compareTo(clock.now()) <= 0);
        boolean probing = !notProbedUntil.containsKey(source);
        try (PeerFeed feed =
                PeerFeed.open(source, inbox.revision(), probing, clock, decoder, confirmations::onConfirmed)) {
            current = Optional.of(feed);
            confirmations.onFeedOpened(source, feed);
            while (inbox.isPreferredFeed(source) && !Thread.currentThread().isInterrupted()) {
                if (!inbox.deliverFromFeed(source, feed.nextBatch(inbox.feedTimeout()))) {
                    if (inbox.canOffer()) {
                        feed.offer(self);
                    }
                    throw new IOException("its content is too old");
                }
            }
            inbox.onFeedClosed();
        } catch (PeerFeed.ProbesUnsupportedException e) {
            LOG.infof("[fleet] The daemon at %s does not answer probes; reading its feed without them.", source);
            notProbedUntil.put(source, clock.now().plus(UNSUPPORTED_MEMORY));
            inbox.onFeedClosed();
        } catch (IOException e) {
            LOG.debugf("[fleet] Stopped reading store changes from the daemon at %s: %s.", source, e.getMessage());
            inbox.onFeedFailed(source);
        } catch (RuntimeException e) {
            LOG.errorf(e, "[fleet] Reading the feed of %s failed unexpectedly; trying another one.", source);
            inbox.onFeedFailed(source);
        } finally {
            current = Optional.empty();
            confirmations.onFeedClosed();
        }
    }
}
