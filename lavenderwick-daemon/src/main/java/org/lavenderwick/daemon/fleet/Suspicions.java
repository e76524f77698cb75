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
 * Votes of the daemons that a primary does not answer them. A primary that a majority of the daemons cannot reach is
 * replaced; one that only some cannot reach is not. Confined to the control thread.
 */
final class Suspicions {

    /** Life of a vote; a daemon that stops to renew it has reached the primary again or has died. */
    private static final Duration VOTE_LEASE = Duration.ofSeconds(2);

    private static final String PREFIX = "suspects/";

    private static final Logger LOG = Logger.getLogger(Suspicions.class);

    private final DaemonName daemon;
    private final FleetStore store;
    private final RandomGenerator random;
    private final Map<GroupName, LeasedEntry> votes = new HashMap<>();

    Suspicions(DaemonName daemon, FleetStore store, RandomGenerator random) {
        this.random = random;
        this.daemon = daemon;
        this.store = store;
    }

    static String prefix(GroupName group) {
        return PREFIX + group.value() + "/";
    }

    /** Casts, renews or withdraws this daemon's vote. */
    void update(GroupName group, EndpointName primary, boolean silent, Directory directory, Duration now) {
        LeasedEntry vote = votes.get(group);
        if (silent) {
            String key = prefix(group) + daemon.value();
            if (vote == null) {
                LOG.infof("[fleet] The primary %s of %s does not answer.", primary, group);
                vote = new LeasedEntry(store, key, VOTE_LEASE, random);
                votes.put(group, vote);
            }
            long revision = directory.entry(key).map(StoreEntry::revision).orElse(StoreWrite.ABSENT);
            vote.keep(primary.value(), revision, now);
        } else if (vote != null) {
            vote.remove();
            votes.remove(group);
        }
    }

    /** Returns how many daemons do not reach the primary. */
    int votes(GroupName group, EndpointName primary, Directory directory) {
        return (int) directory.entriesUnder(prefix(group)).values().stream()
                .filter(entry -> entry.value().equals(primary.value()))
                .count();
    }

    /** Returns whether any daemon, this one included, does not reach a primary. */
    boolean any(Directory directory) {
        return !votes.isEmpty() || !directory.entriesUnder(PREFIX).isEmpty();
    }

    /** Withdraws all votes. */
    void withdraw() {
        votes.values().forEach(LeasedEntry::remove);
        votes.clear();
    }
}
