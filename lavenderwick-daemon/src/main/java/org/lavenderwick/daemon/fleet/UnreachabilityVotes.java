package org.lavenderwick.daemon.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.jboss.logging.Logger;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.core.store.StoreWrite;

/**
 * The votes that daemons write to the store when a primary does not respond to them. A primary is replaced if the votes
 * exceed half the number of daemons that own its group, but not if only a few daemons cannot reach it. Confined to one
 * thread.
 */
final class UnreachabilityVotes {

    /** Time to live of a vote. A daemon that no longer renews its vote has died or reaches the primary again. */
    private static final Duration VOTE_TIME_TO_LIVE = Duration.ofSeconds(2);

    private static final String PREFIX = "suspects/";

    private static final Logger LOG = Logger.getLogger(UnreachabilityVotes.class);

    private final DaemonName daemon;
    private final FleetStore store;
    private final RandomGenerator random;
    private final Map<GroupName, LeasedEntry> votes = new HashMap<>();

    UnreachabilityVotes(DaemonName daemon, FleetStore store, RandomGenerator random) {
        this.random = random;
        this.daemon = daemon;
        this.store = store;
    }

    /** Returns the prefix of the keys of all votes on a group. */
    static String prefix(GroupName group) {
        return PREFIX + group.value() + "/";
    }

    /** Writes or renews this daemon's vote if the primary is unresponsive; otherwise withdraws it. */
    void updateOwnVote(GroupName group, EndpointName primary, boolean unresponsive, StoreCache cache, Duration now) {
        LeasedEntry vote = votes.get(group);
        if (unresponsive) {
            String key = prefix(group) + daemon.value();
            if (vote == null) {
                LOG.infof("[fleet] The primary %s of %s does not answer.", primary, group);
                vote = new LeasedEntry(store, key, VOTE_TIME_TO_LIVE, random);
                votes.put(group, vote);
            }
            long revision = cache.entry(key).map(StoreEntry::revision).orElse(StoreWrite.ABSENT);
            vote.maintain(primary.value(), revision, now);
        } else {
            withdraw(group);
        }
    }

    /** Withdraws this daemon's vote on a group, if there is one. */
    void withdraw(GroupName group) {
        LeasedEntry vote = votes.remove(group);
        if (vote != null) {
            vote.remove();
        }
    }

    /** Returns how many daemons have voted that they cannot reach the primary. */
    int count(GroupName group, EndpointName primary, StoreCache cache) {
        return (int) cache.entriesWithPrefix(prefix(group)).values().stream()
                .filter(entry -> entry.value().equals(primary.value()))
                .count();
    }

    /** Returns whether there is a vote of any daemon on any group. */
    boolean hasVotes(StoreCache cache) {
        return !votes.isEmpty() || cache.hasEntryWithPrefix(PREFIX);
    }

    /** Withdraws all votes of this daemon. */
    void withdrawAll() {
        votes.values().forEach(LeasedEntry::remove);
        votes.clear();
    }
}
