package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.jboss.logging.Logger;
import org.lavenderwick.adapters.session.EndpointError;
import org.lavenderwick.adapters.session.EndpointMessage;
import org.lavenderwick.core.balancing.BalancedStatement;
import org.lavenderwick.core.balancing.BalancingCounters;
import org.lavenderwick.core.balancing.BalancingListener;
import org.lavenderwick.core.balancing.BalancingSettings;
import org.lavenderwick.core.balancing.EjectionCause;
import org.lavenderwick.core.balancing.GroupBalancer;
import org.lavenderwick.core.balancing.LoadSelector;
import org.lavenderwick.core.balancing.StatementOutcome;
import org.lavenderwick.core.dispatch.EndpointLoad;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.time.TokenBucket;

/**
 * Passes the events of the connections of a group to its {@link GroupBalancer}, and logs ejections. Confined to the
 * traffic thread.
 */
final class EndpointBalancing implements BalancingListener {

    /** Maximum burst of log lines; an endpoint that goes down and up causes several lines a minute. */
    private static final int MAX_BURST_LINES = 10;

    private static final double LINES_PER_SECOND = 0.5;

    /** Minimum time between two log lines with the counters. */
    private static final Duration COUNTERS_INTERVAL = Duration.ofMinutes(1);

    private static final Logger LOG = Logger.getLogger(EndpointBalancing.class);

    private final EventLoop loop;
    private final GroupName group;
    private final boolean adaptive;
    private final GroupBalancer balancer;
    private final TokenBucket lineBudget;
    private final Map<EndpointConnection, Duration> assignedAt = new HashMap<>();
    private Duration countersCheckedAt;
    private BalancingCounters loggedCounters;

    /**
     * Creates the balancing of a group.
     *
     * @param settings whether anything is measured and adapted
     */
    EndpointBalancing(EventLoop loop, GroupName group, RandomGenerator random, BalancingSettings settings) {
        this.adaptive = settings.adaptive();
        this.loop = loop;
        this.group = group;
        this.balancer = GroupBalancer.create(random, this, settings.pricePerMegabyte());
        this.lineBudget = TokenBucket.of(MAX_BURST_LINES, LINES_PER_SECOND, loop::now);
        this.countersCheckedAt = loop.now();
        this.loggedCounters = balancer.counters();
    }

    /** Forgets the endpoints that are not in the given set. */
    void retain(Set<EndpointName> members) {
        balancer.retain(members);
    }

    /** Returns the number of statements that this daemon may run on an endpoint, at most the ceiling. */
    int limit(EndpointName endpoint, int ceiling) {
        return adaptive ? balancer.limit(endpoint, ceiling) : ceiling;
    }

    /**
     * Returns the endpoint that a statement is sent to now; empty if it should wait.
     *
     * @param primaryOnly whether no replica may serve the statement
     * @param passedOver the eligible endpoints that have no idle connection
     */
    Optional<EndpointLoad> select(
            PendingStatement pending,
            boolean primaryOnly,
            List<EndpointLoad> eligible,
            Set<EndpointName> passedOver,
            LoadSelector selector) {
        if (!adaptive) {
            List<EndpointLoad> remaining = eligible.stream()
                    .filter(load -> !passedOver.contains(load.name()))
                    .toList();
            return selector.select(remaining, pending.route().priority());
        }
        boolean mayRepeat = !pending.mayWrite() && !pending.isTransactional() && pending.sendCount() == 0;
        BalancedStatement statement = new BalancedStatement(
                pending.route().priority(),
                primaryOnly,
                mayRepeat,
                loop.now().minus(pending.arrivedAt()),
                pending.route().latencyTarget(),
                selector);
        return balancer.select(statement, eligible, passedOver, loop.now());
    }

    /** Records that a statement is passed to a connection. */
    void onAssigned(EndpointConnection connection) {
        if (!adaptive) {
            return;
        }
        assignedAt.put(connection, loop.now());
        balancer.onSent(connection.endpoint().name(), loop.now());
    }

    void onOpened(EndpointConnection connection) {
        if (!adaptive) {
            return;
        }
        EndpointName endpoint = connection.endpoint().name();
        balancer.onConnected(endpoint, connection.tcpHandshakeTime(), loop.now());
        balancer.onResponse(endpoint, loop.now().minus(connection.age()), loop.now());
    }

    void onResponse(EndpointConnection connection, EndpointResponse response) {
        if (adaptive) {
            balancer.onResponse(connection.endpoint().name(), response.sentAt(), loop.now());
        }
    }

    /** Records the response to a statement. */
    void onFinished(EndpointConnection connection, PendingStatement pending, EndpointResponse response) {
        Optional<EndpointError> error = response.error().map(EndpointMessage.Error::error);
        onEnded(
                connection,
                pending,
                response.sentAt(),
                error.map(EndpointBalancing::outcome).orElse(StatementOutcome.SUCCEEDED));
    }

    /** Records that the endpoint rejected the BEGIN of the transaction of a statement. */
    void onRejected(EndpointConnection connection, PendingStatement pending, EndpointError error) {
        onEnded(connection, pending, loop.now(), outcome(error));
    }

    private static StatementOutcome outcome(EndpointError error) {
        return switch (error) {
            case OVERLOADED -> StatementOutcome.REJECTED;
            case FAILED, TIMED_OUT, OTHER -> StatementOutcome.FAILED;
            default -> StatementOutcome.NOT_RUN;
        };
    }

    /**
     * Records that a connection was closed.
     *
     * @param usable whether the endpoint has another open connection, or the latest attempt to open one did not fail
     */
    void onClosed(EndpointConnection connection, Optional<PendingStatement> runningStatement, boolean usable) {
        if (!adaptive) {
            return;
        }
        runningStatement.ifPresent(pending -> onEnded(connection, pending, loop.now(), StatementOutcome.LOST));
        assignedAt.remove(connection);
        if (!usable && !connection.wasOpen()) {
            balancer.onConnectFailed(connection.endpoint().name(), loop.now());
        }
    }

    private void onEnded(
            EndpointConnection connection, PendingStatement pending, Duration sentAt, StatementOutcome outcome) {
        if (!adaptive) {
            return;
        }
        Duration assigned = assignedAt.remove(connection);
        balancer.onFinished(
                connection.endpoint().name(),
                pending.route().database() + ' ' + pending.statement().kind(),
                pending.needsPrimary(),
                assigned == null ? sentAt : assigned,
                sentAt,
                outcome,
                loop.now());
    }

    /** Ejects outliers, and requests the status of endpoints that were ejected because they did not respond. */
    void tick(Map<EndpointName, EndpointConnectionPool> pools) {
        if (!adaptive) {
            return;
        }
        balancer.refresh(loop.now());
        pools.forEach((name, pool) -> {
            if (balancer.needsResponse(name) && !pool.hasPendingRequests()) {
                pool.oldestIdleConnection().ifPresent(connection -> connection.requestStatus(response -> {}));
            }
        });
        if (loop.now().minus(countersCheckedAt).compareTo(COUNTERS_INTERVAL) >= 0) {
            countersCheckedAt = loop.now();
            logCountersIfChanged();
        }
    }

    private void logCountersIfChanged() {
        BalancingCounters counters = balancer.counters();
        boolean unchanged = counters.rejections().equals(loggedCounters.rejections())
                && counters.ejections().equals(loggedCounters.ejections())
                && counters.departures().equals(loggedCounters.departures());
        if (!unchanged) {
            loggedCounters = counters;
            LOG.infof(
                    "[balancing] %s since the start: sent %s, rejected %s, ejections %s, limits %s, left domain %s.",
                    group,
                    counters.statements(),
                    counters.rejections(),
                    counters.ejections(),
                    counters.limits(),
                    counters.departures());
        }
    }

    @Override
    public void onEjected(EndpointName endpoint, EjectionCause cause, Duration duration) {
        if (lineBudget.tryAcquire()) {
            LOG.infof(
                    "[balancing] Endpoint %s of %s gets no reads for %d ms, then probes: %s.",
                    endpoint, group, duration.toMillis(), cause);
        }
    }

    @Override
    public void onReadmitted(EndpointName endpoint) {
        if (lineBudget.tryAcquire()) {
            LOG.infof("[balancing] Endpoint %s of %s passed its probes and gets reads again.", endpoint, group);
        }
    }
}
