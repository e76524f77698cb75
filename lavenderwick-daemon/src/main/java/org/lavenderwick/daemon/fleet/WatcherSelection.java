package org.lavenderwick.daemon.fleet;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.daemon.session.Peer;

/**
 * The selection of the watchers, which are the daemons that watch the store themselves. Each failure domain has a few
 * watchers, and its other daemons subscribe to the changes that one of these forwards. The number of calls to the store
 * thus does not grow with the fleet, and few of them cross failure domains.
 */
final class WatcherSelection {

    /** Maximum number of watchers of a failure domain. The second one immediately replaces a failed first one. */
    static final int WATCHERS_PER_DOMAIN = 2;

    private static final HashFunction HASH_FUNCTION = Hashing.murmur3_32_fixed();

    private WatcherSelection() {}

    /**
     * Returns the watchers that a daemon may subscribe to, the preferred one first. Empty if the daemon is a watcher
     * itself or not among the peers.
     */
    static List<Peer> watchersFor(DaemonName daemon, Map<DaemonName, Peer> peers) {
        Peer self = peers.get(daemon);
        if (self == null) {
            return List.of();
        }
        List<DaemonName> watchers = peers.entrySet().stream()
                .filter(entry -> entry.getValue().failureDomain().equals(self.failureDomain()))
                .map(Map.Entry::getKey)
                .sorted(Comparator.comparingInt(WatcherSelection::hash).thenComparing(Comparator.naturalOrder()))
                .limit(WATCHERS_PER_DOMAIN)
                .toList();
        if (watchers.contains(daemon)) {
            return List.of();
        }
        // Each watcher is preferred by about half of the other daemons.
        Comparator<DaemonName> preference = Comparator.comparingInt(name -> hash(name) ^ hash(daemon));
        return watchers.stream().sorted(preference).map(peers::get).toList();
    }

    private static int hash(DaemonName daemon) {
        return HASH_FUNCTION.hashString(daemon.value(), StandardCharsets.UTF_8).asInt();
    }
}
