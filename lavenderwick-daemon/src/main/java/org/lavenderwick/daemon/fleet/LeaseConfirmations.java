package org.lavenderwick.daemon.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.jboss.logging.Logger;
import org.lavenderwick.core.failover.LeaseConfirmation;
import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.daemon.session.FeedProtocol;

/**
 * Requests confirmations of the lease of the term record over the feed that is being read. Thread-safe; only one
 * request at a time waits for its response.
 */
final class LeaseConfirmations {

    /**
     * Time for which a daemon is not asked again that closed its feed instead of a response. A daemon of an earlier
     * version does so, and its feed is worth more than a confirmation.
     */
    private static final Duration CLOSED_FEED_MEMORY = Duration.ofSeconds(30);

    private static final Logger LOG = Logger.getLogger(LeaseConfirmations.class);

    private final MonotonicClock clock;
    private final Map<InetSocketAddress, Duration> notAskedUntil = new HashMap<>();
    private InetSocketAddress source;
    private PeerFeed feed;
    private long lastRequest;
    private boolean waiting;
    private FeedProtocol.Confirmed response;

    LeaseConfirmations(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Sets the feed over which requests are sent. */
    synchronized void onFeedOpened(InetSocketAddress address, PeerFeed opened) {
        source = address;
        feed = opened;
    }

    /** Ends the use of the feed; a request that waits gets no response. */
    synchronized void onFeedClosed() {
        if (waiting) {
            notAskedUntil.put(source, clock.now().plus(CLOSED_FEED_MEMORY));
        }
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
        notAskedUntil.values().removeIf(until -> until.compareTo(clock.now()) <= 0);
        PeerFeed current = feed;
        if (current == null || notAskedUntil.containsKey(source)) {
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
        waiting = true;
        try {
            awaitResponse(current, clock.now().plus(timeout));
        } finally {
            waiting = false;
        }
        return Optional.ofNullable(response).map(FeedProtocol.Confirmed::confirmation);
    }

    private void awaitResponse(PeerFeed current, Duration end) throws InterruptedException {
        long millis = end.minus(clock.now()).toMillis();
        while (response == null && feed == current && millis > 0) {
            wait(millis);
            millis = end.minus(clock.now()).toMillis();
        }
    }
}
