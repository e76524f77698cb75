package org.lavenderwick.core.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.account.RateLimit;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.GroupName;

/**
 * The selection of the owners of an account among the owners of a group. Statements of one account go through few
 * daemons, so that they share few connections.
 */
public final class AccountOwners {

    /** Highest rate of one owner. An account with a higher rate limit has several, in proportion. */
    static final double OPERATIONS_PER_OWNER = 500;

    /** Connections to an endpoint that an account must be likely to use in a failure domain to have an owner there. */
    private static final double CONNECTIONS_PER_DOMAIN = 2;

    /** Hash function of the rendezvous hashing. All daemons must use the same function and seed to agree on owners. */
    private static final HashFunction SCORE_HASH = Hashing.murmur3_128(0x6163_6374);

    private record ScoredDaemon(DaemonName daemon, long score) {}

    private AccountOwners() {}

    /**
     * Returns the number of owners of an account, at least 1.
     *
     * @param limit the rate limit; an account without one has one owner
     * @param groupOwners number of owners of the group
     */
    public static int count(Optional<RateLimit> limit, int groupOwners) {
        double needed = limit.map(RateLimit::perSecond).orElse(0.0) / OPERATIONS_PER_OWNER;
        return (int) Math.max(1, Math.min(groupOwners, Math.ceil(needed)));
    }

    /**
     * Returns whether an account has an owner in each failure domain. Its sessions then stay in their domain, and the
     * loss of a domain breaks none in the others. A small account has one owner for all domains, because each further
     * one would hold connections that are used rarely.
     *
     * @param limit the rate limit; an account without one counts as small
     * @param totalRate the sum of the rate limits of all accounts
     * @param connections number of connections to an endpoint that the owners of the group share
     * @param domains number of failure domains
     */
    public static boolean hasOwnerInEachDomain(
            Optional<RateLimit> limit, double totalRate, int connections, int domains) {
        double share = totalRate > 0 ? limit.map(RateLimit::perSecond).orElse(0.0) / totalRate : 0;
        return share * connections >= CONNECTIONS_PER_DOMAIN * domains;
    }

    /**
     * Returns the owners of a group in the order in which they are responsible for an account: first the owners of the
     * account, then those that replace them. The loss of a daemon moves only the accounts that it owned.
     */
    public static List<DaemonName> order(GroupName group, AccountName account, List<DaemonName> groupOwners) {
        List<ScoredDaemon> scored = new ArrayList<>(groupOwners.size());
        groupOwners.forEach(
                daemon -> scored.add(new ScoredDaemon(daemon, score(group, account.value(), daemon.value()))));
        scored.sort(Comparator.comparingLong(ScoredDaemon::score).thenComparing(ScoredDaemon::daemon));
        return scored.stream().map(ScoredDaemon::daemon).collect(ImmutableList.toImmutableList());
    }

    /** Returns the rendezvous hash of a candidate for an account; the lowest comes first. */
    static long score(GroupName group, String account, String candidate) {
        return SCORE_HASH
                .hashString(group.value() + "/" + account + "/" + candidate, StandardCharsets.UTF_8)
                .asLong();
    }
}
