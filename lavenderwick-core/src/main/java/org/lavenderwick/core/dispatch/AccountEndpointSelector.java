package org.lavenderwick.core.dispatch;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.connections.account.AccountUse;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

/**
 * Selects the endpoint that runs a statement of an account. The rules of {@link EndpointSelector} apply first: an
 * endpoint that responds before one that does not, and a replica before the primary. Among the endpoints that are left,
 * one with an idle connection of the account is preferred, unless it is clearly busier than another. An account with
 * little traffic then prefers the replica given by rendezvous hashing, so that its statements reuse one connection; one
 * with much traffic uses all replicas.
 *
 * <p>Not thread-safe: it keeps the rates and hashes of recent accounts.
 */
public final class AccountEndpointSelector {

    /** An endpoint with this many more statements in flight than the least busy one is clearly busier. */
    static final int CLEARLY_BUSIER = 2;

    /** Number of accounts whose hashes are kept. */
    private static final int MAX_CACHED_ACCOUNTS = 512;

    /** Time constant of the rates by which an account counts as busy. */
    private static final Duration USE_WINDOW = Duration.ofSeconds(5);

    /** An account is busy if its statements occupy at least this part of one connection to the group. */
    static final double BUSY_CONNECTION_PART = 0.5;

    private final GroupName group;
    private final AccountUse use = AccountUse.create(USE_WINDOW);
    private final Map<Optional<AccountName>, Map<EndpointName, Long>> scores = new HashMap<>();

    private AccountEndpointSelector(GroupName group) {
        this.group = group;
    }

    /** Returns a selector for the endpoints of a group. */
    public static AccountEndpointSelector create(GroupName group) {
        return new AccountEndpointSelector(group);
    }

    /** Records that a statement of an account starts. */
    public void recordUse(Optional<AccountName> account, Duration now) {
        use.record(account, now);
    }

    /** Records that a statement was served. */
    public void recordServed(Duration serviceTime) {
        use.recordServed(serviceTime);
    }

    /** Returns whether an account has so much traffic at this daemon that it uses all replicas. */
    boolean isBusy(Optional<AccountName> account, Duration now) {
        return use.occupiedConnections(account, now) >= BUSY_CONNECTION_PART;
    }

    /**
     * Returns the preferred endpoint below its limit for a statement of the given rank; empty if there is none.
     *
     * @param eligible the endpoints that may run the statement
     * @param account the account of the statement; empty if it has none
     * @param hasIdleConnection whether an endpoint has an idle connection of the account
     */
    public Optional<EndpointLoad> select(
            Collection<EndpointLoad> eligible,
            int rank,
            Optional<AccountName> account,
            Duration now,
            Predicate<EndpointName> hasIdleConnection) {
        boolean busyAccount = isBusy(account, now);
        EndpointLoad best = null;
        boolean bestIdle = false;
        int leastInFlight = leastInFlight(eligible);
        for (EndpointLoad load : eligible) {
            if (load.inFlight() >= EndpointSelector.limitForRank(load, rank)) {
                continue;
            }
            boolean idle = hasIdleConnection.test(load.name());
            if (best == null || isBetter(load, idle, best, bestIdle, leastInFlight, account, busyAccount)) {
                best = load;
                bestIdle = idle;
            }
        }
        return Optional.ofNullable(best);
    }

    private static int leastInFlight(Collection<EndpointLoad> eligible) {
        int least = Integer.MAX_VALUE;
        for (EndpointLoad load : eligible) {
            if (!load.primary() && !load.unresponsive()) {
                least = Math.min(least, load.inFlight());
            }
        }
        return least;
    }

    private boolean isBetter(
            EndpointLoad load,
            boolean idle,
            EndpointLoad best,
            boolean bestIdle,
            int leastInFlight,
            Optional<AccountName> account,
            boolean busyAccount) {
        int order = Boolean.compare(load.unresponsive(), best.unresponsive());
        order = order != 0 ? order : Boolean.compare(load.primary(), best.primary());
        order = order != 0
                ? order
                : Boolean.compare(isClearlyBusier(load, leastInFlight), isClearlyBusier(best, leastInFlight));
        order = order != 0 ? order : Boolean.compare(bestIdle, idle);
        if (order == 0 && busyAccount) {
            order = Integer.compare(load.inFlight(), best.inFlight());
            order = order != 0 ? order : Boolean.compare(best.sameDomain(), load.sameDomain());
        }
        order = order != 0 ? order : Long.compare(score(account, load.name()), score(account, best.name()));
        return order != 0 ? order < 0 : load.name().compareTo(best.name()) < 0;
    }

    private static boolean isClearlyBusier(EndpointLoad load, int leastInFlight) {
        return load.inFlight() - CLEARLY_BUSIER >= leastInFlight;
    }

    private long score(Optional<AccountName> account, EndpointName endpoint) {
        if (scores.size() >= MAX_CACHED_ACCOUNTS && !scores.containsKey(account)) {
            scores.clear();
        }
        return scores.computeIfAbsent(account, name -> new HashMap<>())
                .computeIfAbsent(
                        endpoint,
                        name -> AccountOwners.score(
                                group, account.map(AccountName::value).orElse(""), name.value()));
    }
}
