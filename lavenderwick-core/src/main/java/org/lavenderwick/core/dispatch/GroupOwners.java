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
 * The selection of the owners of a group: the daemons that hold connections to its endpoints. In a small fleet all
 * daemons are owners. In a large fleet only some are, and the other daemons relay their sessions to an owner. The
 * number of connections to an endpoint and the length of its internal queue therefore stay bounded in a fleet of any
 * size.
 */
public final class GroupOwners {

    /** Highest number of owners per slot of an endpoint; bounds the queue inside the endpoint in a large fleet. */
    static final int MAX_OWNERS_PER_SLOT = 4;

    /** Connections to an endpoint that an owner needs: one for single statements, one for a transaction, one spare. */
    static final int CONNECTIONS_PER_OWNER = 3;

    /**
     * Connections to an endpoint that an owner needs if the connections belong to client accounts: one of its own for
     * status requests, and several among which those of its accounts are exchanged.
     */
    static final int CONNECTIONS_PER_OWNER_WITH_ACCOUNTS = 8;

    /** Hash function of the rendezvous hashing. All daemons must use the same function and seed to agree on owners. */
    private static final HashFunction SCORE_HASH = Hashing.murmur3_128(0x6c61_7665);

    private record ScoredDaemon(DaemonName daemon, long score) {}

    private GroupOwners() {}

    /**
     * Returns the number of owners of a group, at least 1.
     *
     * @param daemons number of live daemons
     * @param slots number of statements that an endpoint runs at the same time
     * @param connections number of connections to an endpoint that the owners may share
     */
    public static int count(int daemons, int slots, int connections) {
        return count(daemons, slots, connections, false);
    }

    /**
     * Returns the number of owners of a group, at least 1.
     *
     * @param connections number of connections to an endpoint that the owners may share
     * @param accountsInForce whether each connection belongs to one client account; there are fewer owners then, with
     *     more connections each
     */
    public static int count(int daemons, int slots, int connections, boolean accountsInForce) {
        int perOwner = accountsInForce ? CONNECTIONS_PER_OWNER_WITH_ACCOUNTS : CONNECTIONS_PER_OWNER;
        int maxOwners = Math.min(MAX_OWNERS_PER_SLOT * slots, connections / perOwner);
        return Math.max(1, Math.min(daemons, maxOwners));
    }

    /**
     * Returns the owners of a group. Takes daemons from each failure domain in turn, in the order of their
     * rendezvous hashes. The owners are therefore evenly distributed over the failure domains, and few owners change
     * when a daemon joins or leaves.
     *
     * @param daemons the live daemons with their failure domains
     * @param count number of owners; if there are fewer daemons, all of them are returned
     */
    public static List<DaemonName> select(GroupName group, Map<DaemonName, FailureDomain> daemons, int count) {
        Map<FailureDomain, List<ScoredDaemon>> daemonsByDomain = new TreeMap<>();
        daemons.forEach((daemon, domain) -> daemonsByDomain
                .computeIfAbsent(domain, name -> new ArrayList<>())
                .add(new ScoredDaemon(daemon, score(group, daemon))));
        daemonsByDomain
                .values()
                .forEach(candidates -> candidates.sort(
                        Comparator.comparingLong(ScoredDaemon::score).thenComparing(ScoredDaemon::daemon)));
        List<DaemonName> owners = new ArrayList<>();
        for (int round = 0; owners.size() < Math.min(count, daemons.size()); round++) {
            for (List<ScoredDaemon> candidates : daemonsByDomain.values()) {
                if (round < candidates.size() && owners.size() < count) {
                    owners.add(candidates.get(round).daemon());
                }
            }
        }
        return ImmutableList.copyOf(owners);
    }

    private static long score(GroupName group, DaemonName daemon) {
        return SCORE_HASH
                .hashString(group.value() + "/" + daemon.value(), StandardCharsets.UTF_8)
                .asLong();
    }
}
