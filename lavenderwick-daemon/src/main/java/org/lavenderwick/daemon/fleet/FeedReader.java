package org.lavenderwick.daemon.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;

import org.jboss.logging.Logger;
import org.lavenderwick.core.store.StoreChange;

/** The task of the thread that reads store changes from the feeds of other daemons, one feed at a time. */
final class FeedReader implements Runnable {

    /** Time until the next look for a feed if there is none to read. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

    private static final Logger LOG = Logger.getLogger(FeedReader.class);

    private final ChangeInbox inbox;
    private final Function<String, Optional<StoreChange>> decoder;
    private final LeaseConfirmations confirmations;

    /**
     * Creates a reader.
     *
     * @param decoder decodes a change that another daemon forwarded
     * @param confirmations uses the feed that is being read
     */
    FeedReader(ChangeInbox inbox, Function<String, Optional<StoreChange>> decoder, LeaseConfirmations confirmations) {
        this.inbox = inbox;
        this.decoder = decoder;
        this.confirmations = confirmations;
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

    /** Reads a feed until it fails, is too old, or another feed is preferred. */
    private void read(InetSocketAddress source) {
        try (PeerFeed feed = PeerFeed.open(source, inbox.revision(), decoder, confirmations::onConfirmed)) {
            confirmations.onFeedOpened(source, feed);
            while (inbox.isPreferredFeed(source) && !Thread.currentThread().isInterrupted()) {
                if (!inbox.deliverFromFeed(source, feed.nextBatch(inbox.feedTimeout()))) {
                    throw new IOException("its content is too old");
                }
            }
            inbox.onFeedClosed();
        } catch (IOException e) {
            LOG.debugf("[fleet] Stopped reading store changes from the daemon at %s: %s.", source, e.getMessage());
            inbox.onFeedFailed(source);
        } catch (RuntimeException e) {
            LOG.errorf(e, "[fleet] Reading the feed of %s failed unexpectedly; trying another one.", source);
            inbox.onFeedFailed(source);
        } finally {
            confirmations.onFeedClosed();
        }
    }
}
