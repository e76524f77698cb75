package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.balancing.LoadSelector;
import org.lavenderwick.core.connections.account.MissDecision;
import org.lavenderwick.core.dispatch.AccountEndpointSelector;
import org.lavenderwick.core.dispatch.EndpointLoad;
import org.lavenderwick.core.dispatch.EndpointSelector;
import org.lavenderwick.core.failover.ProvenPrimary;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.replication.PositionHistory;

/**
 * Selects the endpoint and the connection that run a statement, and opens connections where none is idle. Confined to
 * the traffic thread.
 */
final class EndpointAssigner {

    /** The connection for a statement, and the log position that a replica must have reached; empty at the primary. */
    record Assignment(EndpointConnection connection, Optional<LogPoint> minPoint) {}

    /**
     * How long a draining primary keeps receiving new statements. Its replacement is requested as soon as it starts to
     * drain.
     */
    private static final Duration DRAINING_PRIMARY_TIMEOUT = Duration.ofMillis(5500);

    /** Part of the maximum staleness that is reserved for the time between choosing a log position and the read. */
    private static final Duration STALENESS_MARGIN = Duration.ofMillis(100);

    private final EventLoop loop;
    private final FailureDomain failureDomain;
    private final PrimaryTracker primaryTracker;
    private final PositionHistory positions;
    private final Map<EndpointName, EndpointConnectionPool> pools;
    private final ConnectionCounters counters;
    private final EndpointBalancing balancing;
    private final AccountEndpointSelector accountSelector;
    private int ownerCount = 1;
    private boolean accountsInForce;

    EndpointAssigner(
            EventLoop loop,
            GroupName group,
            FailureDomain failureDomain,
            PrimaryTracker primaryTracker,
            PositionHistory positions,
            Map<EndpointName, EndpointConnectionPool> pools,
            ConnectionCounters counters,
            EndpointBalancing balancing) {
        this.loop = loop;
        this.failureDomain = failureDomain;
        this.primaryTracker = primaryTracker;
        this.positions = positions;
        this.pools = pools;
        this.counters = counters;
        this.balancing = balancing;
        this.accountSelector = AccountEndpointSelector.create(group);
    }

    /**
     * Applies a change of the owners or of the configuration.
     *
     * @param owners number of owners of the group
     * @param inForce whether the configuration names accounts, so that each connection belongs to one
     */
    void update(int owners, boolean inForce) {
        ownerCount = Math.max(1, owners);
        accountsInForce = inForce;
    }

    /** Starts a new pass over all waiting statements. */
    void beginPass() {
        if (accountsInForce) {
            pools.values().forEach(EndpointConnectionPool::beginPass);
        }
    }

    /** Records that a statement was served. */
    void recordServed(EndpointConnectionPool pool, Duration serviceTime) {
        if (accountsInForce) {
            pool.recordServed(serviceTime);
            accountSelector.recordServed(serviceTime);
        }
    }

    /**
     * Returns an idle connection to the preferred endpoint that has one, and opens connections to the endpoints that it
     * passes over. While accounts are in force, the connection belongs to the account of the statement.
     */
    Optional<Assignment> assign(PendingStatement pending) {
        Optional<LogPoint> minPoint = minReplicaPoint(pending);
        List<EndpointLoad> eligible = loads(pending, minPoint);
        Optional<AccountName> account = accountsInForce ? pending.account() : Optional.empty();
        Set<EndpointName> passedOver = new HashSet<>();
        LoadSelector selector = selector(account);
        while (true) {
            Optional<EndpointLoad> selected =
                    balancing.select(pending, minPoint.isEmpty(), eligible, passedOver, selector);
            if (selected.isEmpty()) {
                return Optional.empty();
            }
            EndpointConnectionPool pool = pools.get(selected.get().name());
            Optional<EndpointConnection> connection =
                    pool.idleConnection(account, pending.session().context());
            if (connection.isPresent()) {
                recordStart(pending, pool, account);
                return Optional.of(
                        new Assignment(connection.get(), selected.get().primary() ? Optional.empty() : minPoint));
            }
            if (!accountsInForce) {
                pool.openConnection();
            } else if (open(pool, pending, account)) {
                return Optional.empty();
            }
            passedOver.add(selected.get().name());
        }
    }

    private LoadSelector selector(Optional<AccountName> account) {
        if (!accountsInForce) {
            return EndpointSelector::select;
        }
        return (eligible, rank) -> accountSelector.select(
                eligible, rank, account, loop.now(), name -> pools.get(name).hasIdleConnection(account));
    }

    private void recordStart(PendingStatement pending, EndpointConnectionPool pool, Optional<AccountName> account) {
        if (accountsInForce) {
            pool.recordUse(account);
            accountSelector.recordUse(account, loop.now());
            if (!pending.hasMissedConnection()) {
                counters.recordHit();
            }
        }
    }

    /** Returns whether a connection of the account to the endpoint is expected soon. */
    private boolean open(EndpointConnectionPool pool, PendingStatement pending, Optional<AccountName> account) {
        MissDecision.Action action = pool.openFor(account);
        if (action != MissDecision.Action.OPEN && !pending.hasMissedConnection()) {
            counters.recordWait();
        }
        pending.recordMissedConnection();
        return action != MissDecision.Action.NO_ROOM;
    }

    /** Returns how many statements of the same rank and requirements the endpoints may run at the same time. */
    int concurrencyLimit(PendingStatement pending) {
        int rank = pending.route().priority();
        return loads(pending, minReplicaPoint(pending)).stream()
                .mapToInt(load -> EndpointSelector.limitForRank(load, rank))
                .sum();
    }

    /** Returns the log position that a replica needs to serve a statement; empty if only the primary can serve it. */
    Optional<LogPoint> minReplicaPoint(PendingStatement pending) {
        if (pending.needsPrimary()) {
            return Optional.empty();
        }
        Duration minTime =
                pending.arrivedAt().minus(pending.route().maxStaleness()).plus(STALENESS_MARGIN);
        return positions
                .covering(minTime)
                .map(point -> pending.sessionPoint()
                        .map(sessionPoint -> LogPoint.max(sessionPoint, point))
                        .orElse(point));
    }

    /** Returns the load of each endpoint that may serve a statement. */
    private List<EndpointLoad> loads(PendingStatement pending, Optional<LogPoint> minPoint) {
        Optional<EndpointName> primary = primaryTracker.current(loop.now()).map(ProvenPrimary::primary);
        List<EndpointLoad> loads = new ArrayList<>();
        pools.forEach((name, pool) -> {
            boolean isPrimary = primary.equals(Optional.of(name));
            boolean mayServeRead = minPoint.isPresent()
                    && !pending.excludedEndpoints().contains(name)
                    && pool.mayHaveReached(minPoint.get());
            if (pool.isUsable() && (isPrimary || mayServeRead) && !isExcludedByDrain(pool, isPrimary)) {
                loads.add(new EndpointLoad(
                        name,
                        isPrimary,
                        pool.entry().failureDomain().equals(failureDomain),
                        pool.inFlight(),
                        balancing.limit(
                                name,
                                EndpointSelector.limitPerDaemon(pool.entry().slots(), ownerCount)),
                        pool.isUnresponsive()));
            }
        });
        return loads;
    }

    /** Returns whether an endpoint receives no new statements because it is draining. */
    private boolean isExcludedByDrain(EndpointConnectionPool pool, boolean primary) {
        return pool.drainingSince()
                .filter(since ->
                        !primary || since.plus(DRAINING_PRIMARY_TIMEOUT).compareTo(loop.now()) < 0)
                .isPresent();
    }
}
