package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.lavenderwick.adapters.session.EndpointCodec;
import org.lavenderwick.adapters.session.EndpointError;
import org.lavenderwick.core.balancing.BalancingSettings;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.connections.account.OwnerShare;
import org.lavenderwick.core.dispatch.PrimaryAbsence;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.failover.FailoverTimings;
import org.lavenderwick.core.failover.ProvenPrimary;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.replication.PositionHistory;

/**
 * The dispatcher of one database group. It queues statements, sends them to the endpoints of the group that have
 * capacity, and tracks which endpoint is the primary. Confined to the traffic thread.
 */
final class GroupDispatcher implements EndpointConnection.Listener {

    /** Delay before a statement is sent again after an endpoint rejected it without running it. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(15);

    /** How long observed log positions are kept; must exceed the maximum staleness of every database. */
    private static final Duration POSITION_WINDOW = Duration.ofSeconds(10);

    private final EventLoop loop;
    private final EndpointCodec codec;
    private final DaemonName daemon;
    private final RandomGenerator random;
    private final GroupName group;
    private final StatementResultHandler resultHandler;
    private final PrimaryTracker primaryTracker = new PrimaryTracker(FailoverTimings.DEFAULTS);
    private final PositionHistory positions = PositionHistory.create(POSITION_WINDOW);
    private final Map<EndpointName, EndpointConnectionPool> pools = new HashMap<>();
    private final StatementQueue queue = new StatementQueue();
    private final Admission admission = new Admission();
    private final StatusRequester statusRequester;
    private final EvidenceLog evidenceLog;
    private final ConnectionCounters counters;
    private final EndpointBalancing balancing;
    private final EndpointAssigner assigner;
    private final OwnerShare share = OwnerShare.create();
    private boolean accountsInForce;
    private FleetSnapshot appliedLayout = FleetSnapshot.EMPTY;
    private List<DaemonName> owners = List.of();
    private final PrimaryAbsence primaryAbsence;

    GroupDispatcher(
            EventLoop loop,
            EndpointCodec codec,
            DaemonName daemon,
            FailureDomain failureDomain,
            RandomGenerator random,
            GroupName group,
            BalancingSettings balancingSettings) {
        this.loop = loop;
        this.codec = codec;
        this.daemon = daemon;
        this.random = random;
        this.group = group;
        this.primaryAbsence = PrimaryAbsence.create(random);
        this.resultHandler = new StatementResultHandler(this, loop);
        this.statusRequester = new StatusRequester(loop, codec, primaryTracker, positions, pools);
        this.evidenceLog = new EvidenceLog(group);
        this.counters = new ConnectionCounters(group, loop.now());
        this.balancing = new EndpointBalancing(loop, group, random, balancingSettings);
        this.assigner =
                new EndpointAssigner(loop, group, failureDomain, primaryTracker, positions, pools, counters, balancing);
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
        primaryAbsence.onReplacementWaiting(snapshot.isFailoverWaiting(group));
        primaryTracker.onTermRecord(
                Optional.ofNullable(snapshot.provenPrimaries().get(group)),
                Optional.ofNullable(snapshot.confirmedMembers().get(group)),
                loop.now());
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
        accountsInForce = snapshot.areAccountsInForce();
        assigner.update(owners.size(), accountsInForce);
        int targetShare = isOwner() && !owners.isEmpty() ? snapshot.sharedConnections(group) / owners.size() : 0;
        share.update(targetShare, loop.now());
        members.forEach((name, entry) -> {
            EndpointConnectionPool pool = pools.get(name);
            if (pool == null) {
                pool = new EndpointConnectionPool(
                        loop,
                        codec,
                        this,
                        entry,
                        new ConnectRetryDelay(ConnectRetryDelay.newBackoff(random)),
                        counters);
                pools.put(name, pool);
            } else {
                pool.update(entry);
            }
            pool.useAccounts(accountsInForce);
            pool.limitConnections(accountsInForce ? share.current(loop.now()) : targetShare);
        });
        balancing.retain(members.keySet());
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
        Optional<Failure> rejection =
                admission.check(pending, queue, assigner.concurrencyLimit(pending), isPrimaryMissing());
        if (rejection.isPresent()) {
            pending.session().onFailed(pending, rejection.get());
            return;
        }
        if (isPrimaryMissing()
                && primaryAbsence.isReplacementWaiting()
                && assigner.minReplicaPoint(pending).isEmpty()) {
            pending.session().onFailed(pending, primaryAbsence.failure(loop.now()));
            return;
        }
        queue.add(pending);
        dispatch();
    }

    private boolean isPrimaryMissing() {
        return primaryTracker.current(loop.now()).isEmpty();
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
        assigner.beginPass();
        queue.offer(loop.now(), this::start);
    }

    /** Sends a statement if a connection for it is idle; returns whether it was sent. */
    private boolean start(PendingStatement pending) {
        Optional<EndpointAssigner.Assignment> assigned = assigner.assign(pending);
        assigned.ifPresent(assignment -> {
            pending.recordPrimaryWhenSent(primaryTracker.current(loop.now()));
            pending.session().onStarted(pending, assignment.connection());
            balancing.onAssigned(assignment.connection());
            assignment.connection().run(pending, assignment.minPoint());
        });
        return assigned.isPresent();
    }

    /** Returns how often statements found a connection of their account. */
    ConnectionCounters.Counts connectionCounts() {
        return counters.counts();
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
        evidenceLog.check(primaryTracker, now);
        pools.values().forEach(EndpointConnectionPool::closeStalled);
        pools.values().forEach(EndpointConnectionPool::reconnectIfUnresponsive);
        if (accountsInForce) {
            pools.values().forEach(pool -> pool.limitConnections(share.current(now)));
            counters.logIfDue(now, pools);
        }
        if (isOwner()) {
            pools.values().forEach(EndpointConnectionPool::openFirstConnection);
        }
        for (PendingStatement pending : queue.removeIf(pending -> now.compareTo(pending.deadline()) >= 0)) {
            pending.session()
                    .onFailed(pending, Failure.of(ErrorKind.DEADLINE_UNREACHABLE, "no endpoint was free in time"));
        }
        rejectWithoutPrimary(now);
        closeTimedOut(now);
        balancing.tick(pools);
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
                queue.removeIf(pending -> assigner.minReplicaPoint(pending).isEmpty()
                        && primaryAbsence.shouldReject(
                                pending.arrivedAt(), pending.route().latencyTarget(), pending.deadline(), now))) {
            pending.session().onFailed(pending, primaryAbsence.failure(now));
        }
    }

    /**
     * Discards the evidence and log positions gathered until the given time, because the host was suspended.
     *
     * @param suspended how long it was suspended at most
     */
    void discardEvidence(Duration until, Duration suspended) {
        primaryTracker.discardEvidence(until, suspended);
        positions.clear();
    }

    @Override
    public void onOpened(EndpointConnection connection) {
        pool(connection).ifPresent(pool -> pool.onOpened(connection));
        balancing.onOpened(connection);
        dispatch();
    }

    @Override
    public void onClosed(
            EndpointConnection connection,
            Optional<PendingStatement> runningStatement,
            Optional<EndpointError> rejection) {
        pool(connection).ifPresent(pool -> pool.onClosed(connection, rejection));
        balancing.onClosed(
                connection,
                runningStatement,
                pool(connection).filter(pool -> !pool.isUsable()).isEmpty());
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
        balancing.onResponse(connection, response);
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
        balancing.onFinished(connection, pending, response);
        if (response.succeeded()) {
            Duration serviceTime = loop.now().minus(response.sentAt());
            admission.recordServiceTime(pending, serviceTime);
            pool(connection).ifPresent(pool -> assigner.recordServed(pool, serviceTime));
        }
        resultHandler.onResponse(connection, pending, response);
        pool(connection).ifPresent(EndpointConnectionPool::closeSurplus);
        dispatch();
    }

    @Override
    public void onStatementRejected(EndpointConnection connection, PendingStatement pending, EndpointError error) {
        balancing.onRejected(connection, pending, error);
        if (error == EndpointError.BEHIND) {
            pool(connection).ifPresent(EndpointConnectionPool::onPositionMissing);
            pending.excludedEndpoints().add(connection.endpoint().name());
        }
        resultHandler.onNotRun(pending, error);
        dispatch();
    }

    @Override
    public void onIdle(EndpointConnection connection) {
        pool(connection).ifPresent(EndpointConnectionPool::closeSurplus);
        dispatch();
    }

    private Optional<EndpointConnectionPool> pool(EndpointConnection connection) {
        return Optional.ofNullable(pools.get(connection.endpoint().name()));
    }
}
