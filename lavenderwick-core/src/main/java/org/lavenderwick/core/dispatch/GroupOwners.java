package org.lavenderwick.core.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;

/**
 * Which daemons hold connections to the endpoints of a group. A small fleet shares the connections among all daemons;
 * in a large one a few owners hold them and the other daemons relay sessions to an owner, so that the connections of an
 * endpoint suffice and its queue stays short however many daemons there are.
 */
public final class GroupOwners {

    /** Owners per slot of an endpoint; more would let the queue of the endpoint grow with the fleet. */
    static final int OWNERS_PER_SLOT = 4;

    /** Connections to an endpoint that an owner needs: one that runs, one for a transaction, one in reserve. */
    static final int CONNECTIONS_PER_OWNER = 3;

    private static final HashFunction SCORE = Hashing.murmur3_128(0x6c61_7665);

    private record Scored(DaemonName daemon, long score) {}

    private GroupOwners() {}

    /**
     * Returns how many owners a group has.
     *
     * @param daemons daemons that are alive
     * @param slots statements that an endpoint runs at the same time
     * @param connections connections of an endpoint that owners may share
     */
    public static int count(int daemons, int slots, int connections) {
        int most = Math.min(OWNERS_PER_SLOT * slots, connections / CONNECTIONS_PER_OWNER);
        return Math.max(1, Math.min(daemons, most));
    }

    /**
     * Returns the owners of a group: in turn the best daemon of each failure domain, by rendezvous hashing, so that
     * each failure domain has its share and few owners change when daemons come and go.
     */
    public static List<DaemonName> select(GroupName group, Map<DaemonName, FailureDomain> daemons, int count) {
        Map<FailureDomain, List<Scored>> byDomain = new TreeMap<>();
        daemons.forEach((daemon, domain) -> byDomain.computeIfAbsent(domain, name -> new ArrayList<>())
                .add(new Scored(daemon, score(group, daemon))));
        byDomain.values()
                .forEach(list ->
                        list.sort(Comparator.comparingLong(Scored::score).thenComparing(Scored::daemon)));
        List<DaemonName> owners = new ArrayList<>();
        for (int round = 0; owners.size() < Math.min(count, daemons.size()); round++) {
            for (List<Scored> list : byDomain.values()) {
                if (round < list.size() && owners.size() < count) {
                    owners.add(list.get(round).daemon());
                }
            }
        }
        return ImmutableList.copyOf(owners);
    }

    private static long score(GroupName group, DaemonName daemon) {
        return SCORE.hashString(group.value() + "/" + daemon.value(), StandardCharsets.UTF_8)
                .asLong();
    }
}
