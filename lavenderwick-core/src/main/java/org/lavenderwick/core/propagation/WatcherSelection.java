package org.lavenderwick.core.propagation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;

/**
 * The selection of the watchers, which are the daemons that watch the store themselves, and of the feeds from which the
 * other daemons read. Each failure domain has a few watchers. The number of calls to the store thus does not grow with
 * the fleet, and few feeds cross failure domains.
 *
 * <p>All watchers form a ring in which neighbours are in different failure domains where possible. A watcher reads the
 * feed of the next one in the ring beside the store. Changes therefore reach a watcher that the store does not respond
 * to through the first one after it in the ring that has access. If no watcher has access, some other daemons do: they
 * turn to the store when the feeds of the watchers are too old, and the rest then turns to them.
 */
public final class WatcherSelection {

    /** Maximum number of watchers of a failure domain. The second one immediately replaces a failed first one. */
    static final int WATCHERS_PER_DOMAIN = 2;

    /**
     * Number of daemons besides the watchers whose feeds a daemon may read. If the store refuses a third of the fleet,
     * all of these are refused only once in 6,561 cases.
     */
    static final int OTHER_FEEDS = 8;

    private static final HashFunction HASH_FUNCTION = Hashing.murmur3_32_fixed();

    /**
     * The sources of one daemon.
     *
     * @param watcher whether the daemon watches the store itself
     * @param feeds the daemons whose feeds it may read, the preferred one first
     */
    public record Selection(boolean watcher, List<DaemonName> feeds) {}

    private WatcherSelection() {}

    /**
     * Returns the sources of a daemon.
     *
     * @param daemons the live daemons with their failure domains, including the daemon itself
     */
    public static Selection select(DaemonName daemon, Map<DaemonName, FailureDomain> daemons) {
        Map<DaemonName, Integer> hashes = new HashMap<>();
        daemons.keySet().forEach(name -> hashes.put(name, hash(name)));
        List<DaemonName> ring = ring(daemons, hashes);
        int position = ring.indexOf(daemon);
        List<DaemonName> feeds = new ArrayList<>(ring);
        if (position >= 0) {
            Collections.rotate(feeds, -position);
            feeds.remove(0);
        } else {
            // Each watcher is preferred by about as many daemons as any other, first within the failure domain.
            Collections.rotate(feeds, Math.floorMod(hashes.get(daemon), Math.max(1, ring.size())));
            feeds.sort(Comparator.comparing(name -> !daemons.get(name).equals(daemons.get(daemon))));
        }
        int own = hashes.get(daemon);
        daemons.keySet().stream()
                .filter(name -> !name.equals(daemon) && !ring.contains(name))
                .sorted(Comparator.<DaemonName>comparingInt(name -> hashes.get(name) ^ own)
                        .thenComparing(Comparator.naturalOrder()))
                .limit(OTHER_FEEDS)
                .forEach(feeds::add);
        return new Selection(position >= 0, ImmutableList.copyOf(feeds));
    }

    /** Returns all watchers: the first one of each failure domain, then the second one of each. */
    private static List<DaemonName> ring(Map<DaemonName, FailureDomain> daemons, Map<DaemonName, Integer> hashes) {
        Map<FailureDomain, List<DaemonName>> byDomain = new TreeMap<>();
        daemons.forEach((name, domain) ->
                byDomain.computeIfAbsent(domain, value -> new ArrayList<>()).add(name));
        Comparator<DaemonName> order =
                Comparator.<DaemonName>comparingInt(hashes::get).thenComparing(Comparator.naturalOrder());
        byDomain.values().forEach(names -> names.sort(order));
        List<DaemonName> ring = new ArrayList<>();
        for (int round = 0; round < WATCHERS_PER_DOMAIN; round++) {
            for (List<DaemonName> names : byDomain.values()) {
                if (round < names.size()) {
                    ring.add(names.get(round));
                }
            }
        }
        return ring;
    }

    private static int hash(DaemonName daemon) {
        return HASH_FUNCTION.hashString(daemon.value(), StandardCharsets.UTF_8).asInt();
    }
}
