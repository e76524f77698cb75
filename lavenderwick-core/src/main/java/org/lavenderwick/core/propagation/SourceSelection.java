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
 * The selection of the daemons that read the store themselves, and of the feeds from which the other daemons read. The
 * number of calls to the store thus does not grow with the fleet, and few feeds cross failure domains.
 *
 * <p>Each failure domain has a few heads, from whose feeds its other daemons read. A few of the heads of all failure
 * domains, spread over these, are the watchers, which watch the store. The other heads read the feed of a watcher, and
 * the store if no feed is recent enough. All heads form a ring in which neighbours are in different failure domains
 * where possible. Changes therefore reach a watcher that the store does not respond to through the next one that has
 * access. If the store responds to none of the heads, some other daemons have access: they turn to the store last, and
 * the rest then turns to them.
 */
public final class SourceSelection {

    /** Minimum number of heads of a failure domain that is large enough. The second one replaces the first one. */
    static final int MIN_HEADS_PER_DOMAIN = 2;

    /**
     * Number of heads that a fleet has at least if it is large enough. If the store refuses a third of the fleet, all
     * of these are refused only once in 6,561 cases.
     */
    static final int MIN_HEADS = 8;

    /** Maximum number of watchers of a fleet. If the store refuses a third of the fleet, one most likely has access. */
    static final int WATCHERS = 4;

    /** Maximum number of watchers of a failure domain. */
    static final int MAX_WATCHERS_PER_DOMAIN = 2;

    /** Number of daemons besides the heads whose feeds a daemon may read. */
    static final int OTHER_FEEDS = 8;

    private static final HashFunction HASH_FUNCTION = Hashing.murmur3_32_fixed();

    /**
     * The sources of one daemon.
     *
     * @param role how the daemon uses the store
     * @param feeds the daemons whose feeds it may read, the preferred one first
     */
    public record Selection(StoreRole role, List<DaemonName> feeds) {}

    private SourceSelection() {}

    /**
     * Returns the sources of a daemon.
     *
     * @param daemons the live daemons with their failure domains, including the daemon itself
     */
    public static Selection select(DaemonName daemon, Map<DaemonName, FailureDomain> daemons) {
        Map<DaemonName, Integer> hashes = new HashMap<>();
        daemons.keySet().forEach(name -> hashes.put(name, hash(name)));
        List<DaemonName> ring = ring(daemons, hashes);
        long domains = daemons.values().stream().distinct().count();
        long watchers = Math.min(WATCHERS, MAX_WATCHERS_PER_DOMAIN * domains);
        int position = ring.indexOf(daemon);
        List<DaemonName> feeds = new ArrayList<>(ring);
        if (position < 0) {
            // Each head is preferred by about as many daemons as any other, first within the failure domain.
            Collections.rotate(feeds, Math.floorMod(hashes.get(daemon), Math.max(1, ring.size())));
            feeds.sort(Comparator.comparing(name -> !daemons.get(name).equals(daemons.get(daemon))));
        } else {
            // The watchers first, of these the ones in other failure domains, beginning with the next one in the ring.
            Collections.rotate(feeds, -position);
            feeds.remove(0);
            feeds.sort(Comparator.<DaemonName, Boolean>comparing(name -> ring.indexOf(name) >= watchers)
                    .thenComparing(name -> daemons.get(name).equals(daemons.get(daemon))));
        }
        int own = hashes.get(daemon);
        daemons.keySet().stream()
                .filter(name -> !name.equals(daemon) && !ring.contains(name))
                .sorted(Comparator.<DaemonName>comparingInt(name -> hashes.get(name) ^ own)
                        .thenComparing(Comparator.naturalOrder()))
                .limit(OTHER_FEEDS)
                .forEach(feeds::add);
        StoreRole role =
                position < 0 ? StoreRole.FOLLOWER : position < watchers ? StoreRole.WATCHER : StoreRole.STANDBY;
        return new Selection(role, ImmutableList.copyOf(feeds));
    }

    /** Returns all heads: the first one of each failure domain, then the second one of each, and so on. */
    private static List<DaemonName> ring(Map<DaemonName, FailureDomain> daemons, Map<DaemonName, Integer> hashes) {
        Map<FailureDomain, List<DaemonName>> byDomain = new TreeMap<>();
        daemons.forEach((name, domain) ->
                byDomain.computeIfAbsent(domain, value -> new ArrayList<>()).add(name));
        Comparator<DaemonName> order =
                Comparator.<DaemonName>comparingInt(hashes::get).thenComparing(Comparator.naturalOrder());
        byDomain.values().forEach(names -> names.sort(order));
        List<DaemonName> ring = new ArrayList<>();
        int rounds = Math.max(MIN_HEADS_PER_DOMAIN, (MIN_HEADS + byDomain.size() - 1) / byDomain.size());
        for (int round = 0; round < rounds; round++) {
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
