package org.lavenderwick.core.connections.account;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.lavenderwick.core.account.AccountName;

/**
 * The decisions about the connections of several accounts to one endpoint, which share one maximum. A statement runs
 * only on a connection of its own account, and statements without an account only on the daemon's own connections. The
 * cost of a decision depends on the number of connections, not on the number of accounts.
 *
 * <p>An idle connection may be evicted in favor of another account. The one with the lowest expected use is evicted:
 * the rate of statements that would have to open a connection without it. Opening a connection occupies a slot for the
 * same time whatever its account is, so the lowest rate costs the least. The last connection of the daemon itself is
 * kept if the maximum is at least 2, because status requests need one that has been open for some time.
 *
 * <p>Not thread-safe. The connections are passed to each call, and only the rates and mean times are kept here.
 */
public final class AccountConnectionCache<C extends AccountConnection> {

    /** Time constant of the rates. The smallest account of 78 has one statement in about 6 s in its group. */
    static final Duration USE_WINDOW = Duration.ofSeconds(10);

    /** Mean time until a connection is open, until the first measurement. */
    private static final Duration INITIAL_OPEN_TIME = Duration.ofMillis(12);

    /** Weight of a new measurement in the mean. */
    private static final double MEAN_WEIGHT = 0.1;

    /** Part of the mean time that a request is expected to take still, however long it has been pending. */
    private static final double MIN_REMAINING = 0.25;

    private final AccountUse use;
    private final EvictionOrder<C> order;
    private final Predicate<C> evictable;
    private final Map<Optional<AccountName>, Integer> waiting = new HashMap<>();
    private final Map<Optional<AccountName>, Integer> counts = new HashMap<>();
    private double meanOpenNanos = INITIAL_OPEN_TIME.toNanos();

    /** Creates a cache with other rules of eviction, for comparisons. */
    AccountConnectionCache(AccountUse use, EvictionOrder<C> order, Predicate<C> evictable) {
        this.use = use;
        this.order = order;
        this.evictable = evictable;
    }

    /** Returns a cache without measurements. */
    public static <C extends AccountConnection> AccountConnectionCache<C> create() {
        AccountUse use = AccountUse.create(USE_WINDOW);
        return new AccountConnectionCache<>(use, byExpectedUse(use), AccountConnection::isIdle);
    }

    /** Returns the order by the expected use of an account's connections. */
    static <C extends AccountConnection> EvictionOrder<C> byExpectedUse(AccountUse use) {
        return (connection, ofAccount, now) -> use.marginalUse(connection.account(), ofAccount, now);
    }

    /** Records that a connection was opened. */
    public void recordOpened(Duration openTime) {
        meanOpenNanos += MEAN_WEIGHT * (openTime.toNanos() - meanOpenNanos);
    }

    /** Records that a statement was served. */
    public void recordServed(Duration serviceTime) {
        use.recordServed(serviceTime);
    }

    /** Records that a statement of an account starts on one of the connections. */
    public void recordUse(Optional<AccountName> account, Duration now) {
        use.record(account, now);
    }

    /**
     * Starts a new pass over all waiting statements. Within a pass, each statement that waits for a connection of its
     * account counts against the connections that are expected to be free soon.
     */
    public void beginPass() {
        waiting.clear();
    }

    /**
     * Returns an idle connection of the account.
     *
     * @param preferred which of several idle connections to prefer, for example those with matching session variables
     */
    public Optional<C> idle(List<C> connections, Optional<AccountName> account, Predicate<C> preferred) {
        C found = null;
        for (C connection : connections) {
            if (connection.isIdle() && connection.account().equals(account)) {
                if (preferred.test(connection)) {
                    return Optional.of(connection);
                }
                found = found == null ? connection : found;
            }
        }
        return Optional.ofNullable(found);
    }

    /**
     * Decides what to do for a statement whose account has no idle connection: open one if there is room or another
     * connection can be evicted, unless a connection of the account is expected to be free sooner.
     *
     * @param maximum highest number of connections
     */
    public MissDecision<C> onMiss(List<C> connections, Optional<AccountName> account, int maximum, Duration now) {
        int ahead = waiting.merge(account, 1, Integer::sum) - 1;
        if (turnsBeforeNewConnection(connections, account, now) > ahead) {
            return MissDecision.of(MissDecision.Action.WAIT);
        }
        boolean reservesOwn = keepsOwn(maximum) && account.isPresent() && countOf(connections, Optional.empty()) == 0;
        int room = maximum - connections.size() - (reservesOwn ? 1 : 0);
        if (room > 0) {
            return MissDecision.of(MissDecision.Action.OPEN);
        }
        if (room < 0) {
            return MissDecision.of(MissDecision.Action.NO_ROOM);
        }
        return leastUseful(connections, maximum, now)
                .map(MissDecision::replace)
                .orElseGet(() -> MissDecision.of(MissDecision.Action.NO_ROOM));
    }

    /** Returns the idle connection that is evicted first; empty if none may be evicted. */
    public Optional<C> leastUseful(List<C> connections, int maximum, Duration now) {
        C found = null;
        double lowest = 0;
        // Counted once: counting anew for each connection took tens of microseconds with 66 connections.
        counts.clear();
        for (C connection : connections) {
            counts.merge(connection.account(), 1, Integer::sum);
        }
        boolean keepsLastOwn = keepsOwn(maximum) && counts.getOrDefault(Optional.empty(), 0) <= 1;
        for (C connection : connections) {
            if (!evictable.test(connection)
                    || (keepsLastOwn && connection.account().isEmpty())) {
                continue;
            }
            double value = order.keepValue(connection, counts.get(connection.account()), now);
            // Of several connections of an account the newest is evicted, because only old ones provide evidence.
            boolean sameAccount = found != null && found.account().equals(connection.account());
            if (found == null || value < lowest || (sameAccount && value == lowest)) {
                found = connection;
                lowest = value;
            }
        }
        return Optional.ofNullable(found);
    }

    /** Returns whether one connection is reserved for the daemon itself. */
    public static boolean keepsOwn(int maximum) {
        return maximum >= 2;
    }

    /** Returns the number of connections of an account, whatever their state. */
    public int countOf(List<C> connections, Optional<AccountName> account) {
        int count = 0;
        for (C connection : connections) {
            if (connection.account().equals(account)) {
                count++;
            }
        }
        return count;
    }

    /**
     * Returns how many statements the busy connections of the account, and those that are being opened, are expected to
     * start before a new connection would be ready. Connections with a transaction count for none, because their
     * callers may take any time.
     */
    private int turnsBeforeNewConnection(List<C> connections, Optional<AccountName> account, Duration now) {
        int turns = 0;
        for (C connection : connections) {
            Optional<Duration> pendingSince = connection.pendingSince();
            if (pendingSince.isEmpty()
                    || connection.isReserved()
                    || !connection.account().equals(account)) {
                continue;
            }
            double mean = connection.isOpen() ? use.meanServiceNanos() : meanOpenNanos;
            double pendingNanos = now.minus(pendingSince.get()).toNanos();
            // What has taken longer than the mean is expected to take as long again as it is overdue. Otherwise the
            // account would wait for a connection that hangs instead of opening another one.
            double remaining = Math.max(Math.abs(mean - pendingNanos), mean * MIN_REMAINING);
            if (remaining <= meanOpenNanos) {
                turns += 1 + (int) ((meanOpenNanos - remaining) / Math.max(1, use.meanServiceNanos()));
            }
        }
        return turns;
    }
}
