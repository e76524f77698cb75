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
 * Which daemons watch the store themselves. In a large failure domain a few do, and the others follow one of them, so
 * that the calls of the store do not grow with the fleet and do not cross failure domains more often than needed.
 */
final class Watchers {

    /** One that watches and one that takes its place at once. */
    static final int PER_DOMAIN = 2;

    private static final HashFunction SCORE = Hashing.murmur3_32_fixed();

    private Watchers() {}

    /** Returns the watchers that a daemon follows, in the order of its preference; empty if it watches itself. */
    static List<Peer> of(DaemonName daemon, Map<DaemonName, Peer> peers) {
        Peer self = peers.get(daemon);
        if (self == null) {
            return List.of();
        }
        List<DaemonName> watchers = peers.entrySet().stream()
                .filter(entry -> entry.getValue().failureDomain().equals(self.failureDomain()))
                .map(Map.Entry::getKey)
                .sorted(Comparator.comparingInt(Watchers::score).thenComparing(Comparator.naturalOrder()))
                .limit(PER_DOMAIN)
                .toList();
        if (watchers.contains(daemon)) {
            return List.of();
        }
        // Half of the followers prefer each watcher.
        Comparator<DaemonName> preference = Comparator.comparingInt(name -> score(name) ^ score(daemon));
        return watchers.stream().sorted(preference).map(peers::get).toList();
    }

    private static int score(DaemonName daemon) {
        return SCORE.hashString(daemon.value(), StandardCharsets.UTF_8).asInt();
    }
}
