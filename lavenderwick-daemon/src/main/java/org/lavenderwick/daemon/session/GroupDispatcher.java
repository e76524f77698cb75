package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.lavenderwick.adapters.session.EndpointCodec;
import org.lavenderwick.adapters.session.EndpointError;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.dispatch.EndpointLoad;
import org.lavenderwick.core.dispatch.EndpointSelector;
import org.lavenderwick.core.dispatch.PrimaryAbsence;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.failover.FailoverTimings;
import org.lavenderwick.core.failover.ProvenPrimary;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.replication.PositionHistory;

/**
 * The dispatcher of one database group. It queues statements, sends them to the endpoints of the group that have
 * capacity, and tracks which endpoint is the primary. Confined to the traffic thread.
 */
final class GroupDispatcher implements EndpointConnection.Listener {

    /** Delay before a statement is sent again after an endpoint rejected it without running it. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(15);

    /**
     * How long a draining primary keeps receiving new statements. Its replacement is requested as soon as it starts to
     * drain.
     */
    private static final Duration DRAINING_PRIMARY_TIMEOUT = Duration.ofMillis(5500);

    /** How long observed log positions are kept; must exceed the maximum staleness of every database. */
    private static final Duration POSITION_WINDOW = Duration.ofSeconds(10);

    /** Part of the maximum staleness that is reserved for the time between choosing a log position and the read. */
    private static final Duration STALENESS_MARGIN = Duration.ofMillis(100);

    private final EventLoop loop;
    private final EndpointCodec codec;
    private final DaemonName daemon;
    private final FailureDomain failureDomain;
    private final RandomGenerator random;
    private final GroupName group;
    private final StatementResultHandler resultHandler;
    private final PrimaryTracker primaryTracker = new PrimaryTracker(FailoverTimings.DEFAULTS.evidenceMaxAge());
    private final PositionHistory positions = PositionHistory.create(POSITION_WINDOW);
    private final Map<EndpointName, EndpointConnectionPool> pools = new HashMap<>();
    private final StatementQueue queue = new StatementQueue();
    private final Admission admission = new Admission();
    private final StatusRequester statusRequester;
    private FleetSnapshot appliedLayout = FleetSnapshot.EMPTY;
    private List<DaemonName> owners = List.of();
    private final PrimaryAbsence primaryAbsence;

    GroupDispatcher(
            EventLoop loop,
            EndpointCodec codec,
            DaemonName daemon,
            FailureDomain failureDomain,
            RandomGenerator random,
            GroupName group) {
        this.loop = loop;
        this.codec = codec;
        this.daemon = daemon;
        this.failureDomain = failureDomain;
        this.random = random;
        this.group = group;
        this.primaryAbsence = PrimaryAbsence.create(random);
        this.resultHandler = new StatementResultHandler(this, loop);
        this.statusRequester = new StatusRequester(loop, codec, primaryTracker, positions, pools);
    }

    PrimaryTracker primaryTracker() {
        return primaryTracker;
    }

    /** Applies a new snapshot of the fleet and sends queued statements. */
    void apply(FleetSnapshot snapshot) {
        if (!snapshot.hasSameLayoutAs(appliedLayout)) {
            appliedLayout = snapshot;
            applyLayout(snapshot);
        }
        primaryTracker.onTermRecord(
                Optional.ofNullable(snapshot.provenPrimaries().get(group)), loop.now());
        dispatch();
    }

    private void applyLayout(FleetSnapshot snapshot) {
        Map<EndpointName, EndpointEntry> members = new HashMap<>();
        snapshot.endpoints().forEach((name, entry) -> {
            if (entry.group().equals(group)) {
                members.put(name, entry);
            }
        });
        owners = snapshot.owners(group);
        members.forEach((name, entry) -> {
            EndpointConnectionPool pool = pools.get(name);
            if (pool == null) {
                pool = new EndpointConnectionPool(loop, codec, this, entry, EndpointConnectionPool.newBackoff(random));
                pools.put(name, pool);
            } else {
                pool.update(entry);
            }
            pool.limitConnections(
                    isOwner() && !owners.isEmpty() ? snapshot.sharedConnections(group) / owners.size() : 1);
        });
        pools.entrySet().removeIf(entry -> {
            if (members.containsKey(entry.getKey())) {
                return false;
            }
            entry.getValue().closeIdle();
            return true;
        });
        if (!isOwner()) {
            pools.values().forEach(EndpointConnectionPool::closeIdle);
        }
    }

    /** Returns the owners of the group, which are the daemons that connect to its endpoints; empty if none is known. */
    List<DaemonName> owners() {
        return owners;
    }

    /** Returns whether this daemon serves the group itself, which is also the case while no owner is known. */
    boolean isOwner() {
        return owners.isEmpty() || owners.contains(daemon);
    }

    /** Queues a statement that needs a connection, or reports its failure to the session if it is rejected. */
    void submit(PendingStatement pending) {
        Optional<Failure> rejection = admission.check(pending, queue, concurrencyLimit(pending), isPrimaryMissing());
        if (rejection.isPresent()) {
            pending.session().onFailed(pending, rejection.get());
            return;
        }
        queue.add(pending);
        dispatch();
    }

    private boolean isPrimaryMissing() {
        return primaryTracker.current(loop.now()).isEmpty();
    }

    /** Returns how many statements of the same rank and requirements the endpoints may run at the same time. */
    private int concurrencyLimit(PendingStatement pending) {
        int rank = pending.route().priority();
        return loads(pending, minReplicaPoint(pending)).stream()
                .mapToInt(load -> EndpointSelector.limitForRank(load, rank))
                .sum();
    }

    /** Removes a statement from the queue; returns false if it is not queued, because it was sent already. */
    boolean cancel(PendingStatement pending) {
        return queue.remove(pending);
    }

    /** Returns a statement to the queue, to be sent again after a delay. */
    void requeue(PendingStatement pending) {
        pending.deferUntil(loop.now().plus(RETRY_DELAY));
        queue.add(pending);
    }

    /** Sends queued statements to endpoints that have capacity. */
    void dispatch() {
        queue.offer(loop.now(), this::start);
    }

    /**
     * Sends a statement to the preferred endpoint that has an idle connection, and opens connections to the endpoints
     * that it passes over.
     *
     * @return whether the statement was sent
     */
    private boolean start(PendingStatement pending) {
        Optional<LogPoint> minPoint = minReplicaPoint(pending);
        List<EndpointLoad> eligible = loads(pending, minPoint);
        while (true) {
            Optional<EndpointLoad> selected =
                    EndpointSelector.select(eligible, pending.route().priority());
            if (selected.isEmpty()) {
                return false;
            }
            EndpointConnectionPool pool = pools.get(selected.get().name());
            Optional<EndpointConnection> connection =
                    pool.idleConnection(pending.session().context());
            if (connection.isPresent()) {
                pending.recordPrimaryWhenSent(primaryTracker.current(loop.now()));
                pending.session().onStarted(pending, connection.get());
                connection.get().run(pending, selected.get().primary() ? Optional.empty() : minPoint);
                return true;
            }
            pool.openConnection();
            eligible.remove(selected.get());
        }
    }

    /** Returns the log position that a replica needs to serve a statement; empty if only the primary can serve it. */
    private Optional<LogPoint> minReplicaPoint(PendingStatement pending) {
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
                        EndpointSelector.limitPerDaemon(pool.entry().slots(), Math.max(1, owners.size())),
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

    /** Returns the endpoints that do not respond to this daemon. */
    List<EndpointName> unresponsiveEndpoints() {
        return pools.entrySet().stream()
                .filter(entry -> entry.getValue().isUnresponsive())
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Fails statements that have timed out, maintains the connections and requests the status of the endpoints.
     *
     * @return whether a statement or an acknowledgement is still pending
     */
    boolean tick() {
        Duration now = loop.now();
        primaryTracker.resolvePending(now);
        pools.values().forEach(EndpointConnectionPool::closeStalled);
        pools.values().forEach(EndpointConnectionPool::reconnectIfUnresponsive);
        if (isOwner()) {
            pools.values().forEach(EndpointConnectionPool::openFirstConnection);
        }
        for (PendingStatement pending : queue.removeIf(pending -> now.compareTo(pending.deadline()) >= 0)) {
            pending.session()
                    .onFailed(pending, Failure.of(ErrorKind.DEADLINE_UNREACHABLE, "no endpoint was free in time"));
        }
        rejectWithoutPrimary(now);
        closeTimedOut(now);
        if (isOwner() || isBusy()) {
            statusRequester.sendIfDue(now);
        }
        dispatch();
        return isBusy() || primaryTracker.resolvePending(now);
    }

    /** Closes the connections whose running statement has passed its deadline. */
    private void closeTimedOut(Duration now) {
        for (EndpointConnectionPool pool : pools.values()) {
            for (EndpointConnection connection : pool.connections()) {
                connection
                        .runningStatement()
                        .filter(pending -> now.compareTo(pending.deadline()) >= 0)
                        .ifPresent(pending -> connection.close("the response did not arrive before the deadline"));
            }
        }
    }

    /** Returns whether a statement is queued or a request to an endpoint is pending. */
    boolean isBusy() {
        return !queue.isEmpty() || pools.values().stream().anyMatch(EndpointConnectionPool::hasPendingRequests);
    }

    /** Rejects the statements for which a missing primary is not expected back in time. */
    private void rejectWithoutPrimary(Duration now) {
        if (!isPrimaryMissing()) {
            primaryAbsence.onPresent();
            return;
        } else if (!isOwner() && !isBusy()) {
            primaryAbsence.onNotNeeded();
            return;
        }
        primaryAbsence.onMissing(now);
        for (PendingStatement pending :
                queue.removeIf(pending -> minReplicaPoint(pending).isEmpty()
                        && primaryAbsence.shouldReject(
                                pending.arrivedAt(), pending.route().latencyTarget(), pending.deadline(), now))) {
            pending.session().onFailed(pending, primaryAbsence.failure(now));
        }
    }

    /** Discards the evidence and log positions gathered until the given time, because the host was suspended. */
    void discardEvidence(Duration until) {
        primaryTracker.discardEvidence(until);
        positions.clear();
    }

    @Override
    public void onOpened(EndpointConnection connection) {
        pool(connection).ifPresent(EndpointConnectionPool::onOpened);
        dispatch();
    }

    @Override
    public void onClosed(
            EndpointConnection connection,
            Optional<PendingStatement> runningStatement,
            Optional<EndpointError> rejection) {
        pool(connection).ifPresent(pool -> pool.onClosed(connection, rejection));
        runningStatement.ifPresent(pending -> resultHandler.onConnectionLost(pending));
        if (runningStatement.isEmpty()) {
            connection.transactionOwner().ifPresent(CallerSession::onTransactionLost);
        }
        dispatch();
    }

    @Override
    public void onRequestSent(EndpointConnection connection) {
        pool(connection).ifPresent(EndpointConnectionPool::onRequestSent);
    }

    @Override
    public void onResponse(EndpointConnection connection, EndpointResponse response) {
        pool(connection).ifPresent(pool -> pool.onResponse(response));
        Optional<ProvenPrimary> proven = primaryTracker
                .latest()
                .filter(seen -> seen.primary().equals(connection.endpoint().name()));
        boolean wasPrimaryWhenSent = proven.filter(seen -> seen.provenAt()
                                .plus(FailoverTimings.DEFAULTS.evidenceMaxAge())
                                .compareTo(response.sentAt())
                        > 0)
                .isPresent();
        if (wasPrimaryWhenSent) {
            response.position()
                    .filter(point -> point.term().number() == proven.get().term())
                    .ifPresent(point -> positions.observe(response.sentAt(), point));
        }
    }

    @Override
    public void onStatementFinished(
            EndpointConnection connection, PendingStatement pending, EndpointResponse response) {
        if (response.succeeded()) {
            admission.recordServiceTime(pending, loop.now().minus(response.sentAt()));
        }
        resultHandler.onResponse(connection, pending, response);
        dispatch();
    }

    @Override
    public void onStatementRejected(EndpointConnection connection, PendingStatement pending, EndpointError error) {
        if (error == EndpointError.BEHIND) {
            pool(connection).ifPresent(EndpointConnectionPool::onPositionMissing);
            pending.excludedEndpoints().add(connection.endpoint().name());
        }
        resultHandler.onNotRun(pending, error);
        dispatch();
    }

    @Override
    public void onIdle(EndpointConnection connection) {
        dispatch();
    }

    private Optional<EndpointConnectionPool> pool(EndpointConnection connection) {
        return Optional.ofNullable(pools.get(connection.endpoint().name()));
    }
}
