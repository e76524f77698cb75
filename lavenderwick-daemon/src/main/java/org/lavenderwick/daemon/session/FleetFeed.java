package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.lavenderwick.core.store.StoreChange;
import org.lavenderwick.core.store.StoreChanges;

/** Passes what this daemon knows of the store on to the daemons that follow it. Confined to the traffic thread. */
final class FleetFeed {

    /** Time between two words to a follower; a follower that hears nothing for three times as long turns away. */
    static final Duration HEARTBEAT = Duration.ofMillis(500);

    private final EventLoop loop;
    private final Map<String, String> known = new LinkedHashMap<>();
    private final Set<LineConnection> followers = new HashSet<>();
    private long revision = -1;
    private Duration currentAt;
    private Duration heardAt = Duration.ZERO;

    FleetFeed(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Takes changes and passes them on.
     *
     * @param complete whether the changes are everything, so that whatever they lack has been removed
     * @param currentSince when the store was last known to have no later change
     */
    void take(boolean complete, StoreChanges changes, Duration currentSince) {
        if (complete) {
            // Followers cannot tell what has been removed meanwhile, so they start anew.
            known.clear();
            endAll();
        }
        for (int index = 0; index < changes.changes().size(); index++) {
            remember(changes.changes().get(index), changes.encoded().get(index));
        }
        revision = changes.revision();
        currentAt = currentSince;
        if (!changes.changes().isEmpty()) {
            send(changes.encoded());
        }
    }

    private void remember(StoreChange change, String encoded) {
        known.remove(change.subject());
        boolean removed = change instanceof StoreChange.EntryRemoved || change instanceof StoreChange.EndpointRemoved;
        if (!removed) {
            known.put(change.subject(), encoded);
        }
    }

    /**
     * Takes a new follower, and closes its connection if nothing is known.
     *
     * @param itsRevision what the follower knows already
     */
    void follow(LineConnection follower, long itsRevision) {
        if (revision < 0) {
            follower.closeAfterSending();
            return;
        }
        followers.add(follower);
        if (revision > itsRevision) {
            follower.send(FeedProtocol.SNAPSHOT_START);
            known.values().forEach(encoded -> follower.send(FeedProtocol.formatChange(encoded)));
        }
        follower.send(FeedProtocol.formatBatchEnd(revision, age()));
    }

    void forget(LineConnection follower) {
        followers.remove(follower);
    }

    /** Ends the feed of all followers. */
    void endAll() {
        List.copyOf(followers).forEach(this::end);
    }

    private void end(LineConnection follower) {
        followers.remove(follower);
        follower.closeAfterSending();
    }

    private Duration age() {
        return loop.now().minus(currentAt);
    }

    private void send(List<String> encoded) {
        String end = FeedProtocol.formatBatchEnd(revision, age());
        for (LineConnection follower : List.copyOf(followers)) {
            encoded.forEach(change -> follower.send(FeedProtocol.formatChange(change)));
            follower.send(end);
        }
    }

    /** Tells the followers from time to time how old the knowledge is. */
    void tick(Duration now) {
        if (!followers.isEmpty() && now.minus(heardAt).compareTo(HEARTBEAT) >= 0) {
            heardAt = now;
            send(List.of());
        }
    }
}
