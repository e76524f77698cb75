package org.lavenderwick.daemon.session;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.lavenderwick.core.failover.LeaseConfirmation;
import org.lavenderwick.core.propagation.ChangeSources;
import org.lavenderwick.core.store.StoreChange;
import org.lavenderwick.core.store.StoreChanges;

/**
 * A feed that sends the store changes this daemon has received to other daemons, its subscribers. Confined to the
 * traffic thread.
 */
final class StoreFeed {

    /**
     * Number of recent changes that are kept, so that a subscriber that changes to this feed gets only what it lacks.
     */
    private static final int MAX_RECENT_CHANGES = 1000;

    private record RecentChange(long revision, String encoded) {}

    private final EventLoop loop;
    private final Map<String, String> latestChanges = new LinkedHashMap<>();
    private final Deque<RecentChange> recentChanges = new ArrayDeque<>();
    private final Set<LineConnection> subscribers = new HashSet<>();
    private long revision = -1;
    private long recentSince = -1;
    private Duration currentAt;
    private Supplier<Optional<LeaseConfirmation>> confirmations = Optional::empty;
    private Consumer<InetSocketAddress> onOffer = offered -> {};
    private Duration lastSentAt = Duration.ZERO;

    StoreFeed(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Stores changes and sends them to the subscribers.
     *
     * @param complete whether the changes hold the whole content of the store, replacing what was known before
     * @param currentAt monotonic time at which the store was last known to have no later changes
     */
    void publish(boolean complete, StoreChanges changes, Duration currentAt) {
        if (complete) {
            // Subscribers cannot detect which entries have been removed, so they have to subscribe again.
            latestChanges.clear();
            recentChanges.clear();
            recentSince = changes.revision();
            closeAll();
        }
        for (int index = 0; index < changes.changes().size(); index++) {
            retain(changes.changes().get(index), changes.encoded().get(index));
            if (!complete) {
                recentChanges.add(
                        new RecentChange(changes.revision(), changes.encoded().get(index)));
            }
        }
        while (recentChanges.size() > MAX_RECENT_CHANGES) {
            recentSince = recentChanges.remove().revision();
        }
        revision = changes.revision();
        this.currentAt = currentAt;
        if (!changes.changes().isEmpty()) {
            send(changes.encoded());
        }
    }

    /** Records that the content was still the newest at a time. The next heartbeat tells the subscribers. */
    void onContentCurrent(Duration newCurrentAt) {
        currentAt = newCurrentAt;
    }

    private void retain(StoreChange change, String encoded) {
        latestChanges.remove(change.subject());
        boolean removed = change instanceof StoreChange.EntryRemoved || change instanceof StoreChange.EndpointRemoved;
        if (!removed) {
            latestChanges.put(change.subject(), encoded);
        }
    }

    /**
     * Adds a subscriber, or closes its connection if this daemon has not read the store yet.
     *
     * @param knownRevision the store revision that the subscriber already has
     */
    void subscribe(LineConnection subscriber, long knownRevision) {
        if (revision < 0) {
            subscriber.closeAfterSending();
            return;
        }
        subscribers.add(subscriber);
        if (knownRevision < recentSince) {
            subscriber.send(FeedProtocol.SNAPSHOT_START);
            latestChanges.values().forEach(encoded -> subscriber.send(FeedProtocol.formatChange(encoded)));
        } else {
            recentChanges.stream()
                    .filter(change -> change.revision() > knownRevision)
                    .forEach(change -> subscriber.send(FeedProtocol.formatChange(change.encoded())));
        }
        subscriber.send(FeedProtocol.formatBatchEnd(revision, age()));
    }

    /** Sets the receiver of the feeds that subscribers offer. */
    void receiveOffersWith(Consumer<InetSocketAddress> receiver) {
        onOffer = receiver;
    }

    /** Passes on the address of a feed that a subscriber offers. */
    void onOffer(InetSocketAddress offered) {
        onOffer.accept(offered);
    }

    /** Sets the source of the confirmations that subscribers request. */
    void confirmWith(Supplier<Optional<LeaseConfirmation>> source) {
        confirmations = source;
    }

    /** Responds to a request for a confirmation; no response means that there is none. */
    void confirmLease(LineConnection subscriber, long request) {
        confirmations
                .get()
                .ifPresent(confirmation -> subscriber.send(FeedProtocol.formatConfirmed(request, confirmation)));
    }

    /** Answers a probe with the state of the content as of now, unless this daemon has not read the store yet. */
    void answerProbe(LineConnection subscriber, long number) {
        if (revision >= 0) {
            // Not the time at which this iteration began: the probe may have been sent since then.
            subscriber.send(FeedProtocol.formatProbed(
                    number, revision, loop.currentTime().minus(currentAt)));
        }
    }

    /** Removes a subscriber without closing its connection. */
    void unsubscribe(LineConnection subscriber) {
        subscribers.remove(subscriber);
    }

    private void closeAll() {
        List.copyOf(subscribers).forEach(this::close);
    }

    private void close(LineConnection subscriber) {
        subscribers.remove(subscriber);
        subscriber.closeAfterSending();
    }

    private Duration age() {
        return loop.now().minus(currentAt);
    }

    private void send(List<String> encoded) {
        String end = FeedProtocol.formatBatchEnd(revision, age());
        for (LineConnection subscriber : List.copyOf(subscribers)) {
            encoded.forEach(change -> subscriber.send(FeedProtocol.formatChange(change)));
            subscriber.send(end);
        }
    }

    /** Sends an empty batch with the current age to all subscribers when the heartbeat interval has passed. */
    void tick(Duration now) {
        if (!subscribers.isEmpty() && now.minus(lastSentAt).compareTo(ChangeSources.HEARTBEAT_INTERVAL) >= 0) {
            lastSentAt = now;
            send(List.of());
        }
    }
}
