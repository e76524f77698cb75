package org.lavenderwick.daemon.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;

import org.jboss.logging.Logger;
import org.lavenderwick.core.failover.LeaseConfirmation;
import org.lavenderwick.daemon.session.FeedProtocol;

/**
 * Requests confirmations of the lease of the term record over the feed that is being read. Thread-safe; only one
 * request at a time waits for its response.
 */
final class LeaseConfirmations {

    private static final Logger LOG = Logger.getLogger(LeaseConfirmations.class);

    private PeerFeed feed;
    private long lastRequest;
    private FeedProtocol.Confirmed response;

    /** Sets the feed over which requests are sent. */
    synchronized void onFeedOpened(PeerFeed opened) {
        feed = opened;
    }

    /** Ends the use of the feed; a request that waits gets no response. */
    synchronized void onFeedClosed() {
        feed = null;
        notifyAll();
    }

    /** Records a response of the feed. One that belongs to an earlier request is ignored. */
    synchronized void onConfirmed(FeedProtocol.Confirmed confirmed) {
        if (confirmed.request() == lastRequest) {
            response = confirmed;
            notifyAll();
        }
    }

    /**
     * Requests a confirmation and waits for it.
     *
     * @param timeout longest time to wait
     * @return empty if no feed is being read, or if it does not respond or cannot confirm
     */
    synchronized Optional<LeaseConfirmation> request(Duration timeout) throws InterruptedException {
        PeerFeed current = feed;
        if (current == null) {
            return Optional.empty();
        }
        response = null;
        lastRequest++;
        try {
            current.requestConfirmation(lastRequest);
        } catch (IOException e) {
            LOG.debugf("[fleet] Could not request a confirmation over the feed: %s", e.getMessage());
            return Optional.empty();
        }
        long end = System.nanoTime() + timeout.toNanos();
        for (long left = timeout.toMillis(); response == null && feed == current && left > 0; ) {
            wait(left);
            left = (end - System.nanoTime()) / Duration.ofMillis(1).toNanos();
        }
        return Optional.ofNullable(response).map(FeedProtocol.Confirmed::confirmation);
    }
}
