package org.lavenderwick.daemon.fleet;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

import org.jboss.logging.Logger;
import org.lavenderwick.core.propagation.ChangeSources;
import org.lavenderwick.core.propagation.ContentStatus;
import org.lavenderwick.core.propagation.ContentVersion;
import org.lavenderwick.core.propagation.StoreRole;
import org.lavenderwick.core.store.EraRevision;
import org.lavenderwick.core.store.StoreChanges;
import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.daemon.session.TrafficThread;

/**
 * The inbox of store changes. The reader of the store and the reader of feeds deliver to it side by side; it forwards
 * what is new to the control thread and to the subscribers of this daemon's own feed. Thread-safe.
 */
final class ChangeInbox {

    private static final Logger LOG = Logger.getLogger(ChangeInbox.class);

    /**
     * Changes that were read from the store or from a feed.
     *
     * @param complete whether the changes are the entire content rather than those since the last update
     * @param source the source of the changes, for people
     * @param receivedAt monotonic time at which they arrived
     */
    record Update(boolean complete, StoreChanges changes, String source, Duration receivedAt) {}

    private final ChangeSources<InetSocketAddress> sources;
    private final MonotonicClock clock;
    private final TrafficThread traffic;
    private final ContentVersion content = ContentVersion.create();
    private final BlockingQueue<Update> updates = new LinkedBlockingQueue<>();
    private String source = ContentStatus.NONE.source();
    private int updatesInProgress;
    private ContentStatus applied = ContentStatus.NONE;

    ChangeInbox(ChangeSources<InetSocketAddress> sources, MonotonicClock clock, TrafficThread traffic) {
        this.sources = sources;
        this.clock = clock;
        this.traffic = traffic;
    }

    /** Returns the queue of updates that the control thread has not processed yet. */
    BlockingQueue<Update> updates() {
        return updates;
    }

    /** Records that the control thread has applied a number of updates. */
    synchronized void onUpdatesApplied(int count) {
        updatesInProgress -= count;
    }

    /**
     * Returns the status of the content that the control thread has applied. What has arrived and is not applied yet
     * does not count.
     */
    synchronized ContentStatus appliedContent() {
        return updatesInProgress > 0 ? applied : status();
    }

    private ContentStatus status() {
        return content.isKnown()
                ? new ContentStatus(content.revision(), content.currentAt(), source)
                : ContentStatus.NONE;
    }

    /** Sets the role of this daemon and the feeds that it may read, the preferred one first. */
    synchronized void setSources(StoreRole role, List<InetSocketAddress> feeds) {
        sources.update(role, feeds);
        notifyAll();
    }

    /** Returns the revision of the content that has been delivered, {@link ContentVersion#NONE} before the first. */
    synchronized long revision() {
        return content.revision();
    }

    /** Delivers the entire content of the store, read by a call that was sent at the given time. */
    synchronized void deliverContent(StoreChanges content, Duration sentAt) {
        deliverFromStore(true, content, sentAt);
    }

    /**
     * Delivers what a watch of the store returned. A watch that returned the revision it was sent with shows that there
     * were no changes while it waited; any other one may have ended at any time since it was sent.
     *
     * @param sentAt monotonic time before the watch was sent
     * @param wait how long the store was to wait for changes; it counts whole milliseconds
     */
    synchronized void deliverWatch(StoreChanges changes, Duration sentAt, Duration wait) {
        Duration end = sentAt.plusMillis(wait.toMillis());
        boolean waited = changes.revision() == content.revision() && end.compareTo(clock.now()) <= 0;
        deliverFromStore(false, changes, waited ? end : sentAt);
    }

    private void deliverFromStore(boolean complete, StoreChanges changes, Duration knownAt) {
        deliver(complete, changes, knownAt, "the store");
        if (sources.onStoreResponse()) {
            LOG.info("[fleet] The store responds again; reading changes from it.");
        }
    }

    /** Records that a call to the store has failed. */
    synchronized void onStoreFailure(String reason) {
        if (sources.onStoreFailure(clock.now())) {
            LOG.warnf(
                    "[fleet] The store does not respond; reading changes from other daemons until it does: %s", reason);
        }
    }

    /** Returns how long the next call to the store may wait for changes. */
    synchronized Duration maxStoreWait() {
        return sources.maxStoreWait(content, clock.now());
    }

    /** Waits until the next call to the store is due. */
    synchronized void awaitStoreRead() throws InterruptedException {
        long millis = sources.storeDelay(content, clock.now()).toMillis();
        while (millis > 0) {
            wait(millis);
            millis = sources.storeDelay(content, clock.now()).toMillis();
        }
    }

    /** Returns the feed to read next; empty if there is none at the moment. */
    synchronized Optional<InetSocketAddress> selectFeed() {
        return sources.selectFeed(content, clock.now());
    }

    /** Returns whether a feed that is being read should be read further. */
    synchronized boolean isPreferredFeed(InetSocketAddress feed) {
        return sources.isPreferred(feed, content, clock.now());
    }

    /** Returns how long to wait for the next batch of a feed before it counts as failed. */
    synchronized Duration feedTimeout() {
        return sources.feedTimeout(content, clock.now());
    }

    /** Delivers a batch of a feed; returns whether the content of the feed is recent enough to read on. */
    synchronized boolean deliverFromFeed(InetSocketAddress feed, PeerFeed.Batch batch) {
        boolean first = !content.isKnown();
        if (first) {
            LOG.infof(
                    "[fleet] Read the store content of %d ms ago from another daemon.",
                    batch.age().toMillis());
        }
        deliver(batch.complete(), batch.changes(), batch.knownAt(), "the feed of " + describe(feed));
        return sources.onFeedBatch(feed, batch.age());
    }

    /** Records that another daemon has offered its feed. */
    synchronized void onOffer(InetSocketAddress feed) {
        sources.onOffer(feed, content, clock.now());
    }

    /** Returns whether this daemon should offer its own feed to one whose content is too old. */
    synchronized boolean canOffer() {
        return sources.canOffer(content, clock.now());
    }

    /** Records that a feed could not be opened, has failed, or is too old. */
    synchronized void onFeedFailed(InetSocketAddress feed) {
        sources.onFeedFailed(feed, clock.now());
        notifyAll();
    }

    /** Records that a feed is no longer read, although it has not failed. */
    synchronized void onFeedClosed() {
        sources.onFeedClosed(clock.now());
        notifyAll();
    }

    private static String describe(InetSocketAddress feed) {
        return feed.getHostString() + ":" + feed.getPort();
    }

    private void deliver(boolean complete, StoreChanges changes, Duration knownAt, String deliveredBy) {
        ContentStatus before = status();
        Duration knownBefore = content.currentAt();
        boolean known = content.isKnown();
        long eraBefore = EraRevision.era(content.revision());
        boolean newer = content.accept(complete, changes.revision(), knownAt);
        source = newer || content.currentAt().compareTo(knownBefore) > 0 ? deliveredBy : source;
        if (newer) {
            long era = EraRevision.era(changes.revision());
            if (known && era != eraBefore) {
                LOG.warnf(
                        "[fleet] The store has come back from a copy (era %d after %d);"
                                + " using its content of now, and the newest known configuration.",
                        era, eraBefore);
            }
            traffic.publishStoreChanges(complete, changes, content.currentAt());
            if (complete || !changes.changes().isEmpty()) {
                applied = updatesInProgress == 0 ? before : applied;
                updatesInProgress++;
                updates.add(new Update(complete, changes, deliveredBy, clock.now()));
            }
        } else if (content.currentAt().compareTo(knownBefore) > 0) {
            traffic.onStoreContentCurrent(content.currentAt());
        }
    }
}
