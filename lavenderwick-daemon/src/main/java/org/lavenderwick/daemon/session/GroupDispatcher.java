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

/** The work of one database group: its queue, its endpoints and its primary. Confined to the traffic thread. */
final class GroupDispatcher implements EndpointConnection.Listener {

    /** Pause before work goes again to an endpoint that refused it without running it. */
    private static final Duration REFUSED_PAUSE = Duration.ofMillis(15);

    /** A leaving primary takes new work for this long; its replacement is ordered as soon as it is leaving. */
    private static final Duration DRAINING_PRIMARY_LIMIT = Duration.ofMillis(5500);

    /** How long positions are kept; longer than any accepted staleness. */
    private static final Duration POSITION_WINDOW = Duration.ofSeconds(10);

    /** Part of an accepted staleness that is left for the time between choosing a position and its use. */
    private static final Duration STALENESS_MARGIN = Duration.ofMillis(100);

    private final EventLoop loop;
    private final EndpointCodec codec;
    private final DaemonName daemon;
    private final FailureDomain domain;
    private final RandomGenerator random;
    private final GroupName group;
    private final StatementResultHandler results;
    private final PrimaryTracker terms = new PrimaryTracker(FailoverTimings.DEFAULTS.evidenceMaxAge());
    private final PositionHistory positions = PositionHistory.create(POSITION_WINDOW);
    private final Map<EndpointName, EndpointConnectionPool> pools = new HashMap<>();
    private final StatementQueue queue = new StatementQueue();
    private final Admission admission = new Admission();
    private final StatusRequester questions;
    private FleetSnapshot layout = FleetSnapshot.EMPTY;
    private List<DaemonName> owners = List.of();
    private Duration primaryMissingSince;

    GroupDispatcher(
            EventLoop loop,
            EndpointCodec codec,
            DaemonName daemon,
            FailureDomain domain,
            RandomGenerator random,
            GroupName group) {
        this.loop = loop;
        this.codec = codec;
        this.daemon = daemon;
        this.domain = domain;
        this.random = random;
        this.group = group;
        this.results = new StatementResultHandler(this, loop);
        this.questions = new StatusRequester(loop, codec, terms, positions, pools);
    }

    PrimaryTracker primaryTracker() {
        return terms;
    }

    /** Takes what the control thread knows. */
    void apply(FleetSnapshot view) {
        if (!view.hasSameLayoutAs(layout)) {
            layout = view;
            applyLayout(view);
        }
        terms.onTermRecord(Optional.ofNullable(view.provenPrimaries().get(group)), loop.now());
        dispatch();
    }

    private void applyLayout(FleetSnapshot view) {
        Map<EndpointName, EndpointEntry> members = new HashMap<>();
        view.endpoints().forEach((name, entry) -> {
            if (entry.group().equals(group)) {
                members.put(name, entry);
            }
        });
        owners = view.owners(group);
        members.forEach((name, entry) -> {
            EndpointConnectionPool pool = pools.get(name);
            if (pool == null) {
                pool = new EndpointConnectionPool(loop, codec, this, entry, EndpointConnectionPool.newBackoff(random));
                pools.put(name, pool);
            } else {
                pool.update(entry);
            }
            pool.limitConnections(isOwner() && !owners.isEmpty() ? view.sharedConnections(group) / owners.size() : 1);
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

    /** Returns the daemons that hold connections to the endpoints. */
    List<DaemonName> owners() {
        return owners;
    }

    /** Returns whether this daemon serves the group itself; so it does while it knows of no daemon. */
    boolean isOwner() {
        return owners.isEmpty() || owners.contains(daemon);
    }

    /** Takes a statement that needs a connection. */
    void submit(PendingStatement work) {
        Optional<Failure> refusal = admission.check(work, queue, parallel(work), primaryMissing());
        if (refusal.isPresent()) {
            work.session().onFailed(work, refusal.get());
            return;
        }
        queue.add(work);
        dispatch();
    }

    private boolean primaryMissing() {
        return terms.current(loop.now()).isEmpty();
    }

    private int parallel(PendingStatement work) {
        int rank = work.route().priority();
        return loads(work, replicaPoint(work)).stream()
                .mapToInt(load -> EndpointSelector.limitForRank(load, rank))
                .sum();
    }

    /** Forgets a statement whose caller has left. */
    void cancel(PendingStatement work) {
        queue.remove(work);
    }

    /** Puts a statement that did not run back into the queue, after a pause. */
    void requeue(PendingStatement work) {
        work.deferUntil(loop.now().plus(REFUSED_PAUSE));
        queue.add(work);
    }

    /** Hands waiting statements to endpoints as far as these can take more. */
    void dispatch() {
        queue.offer(loop.now(), this::start);
    }

    private boolean start(PendingStatement work) {
        Optional<LogPoint> after = replicaPoint(work);
        List<EndpointLoad> eligible = loads(work, after);
        while (true) {
            Optional<EndpointLoad> chosen =
                    EndpointSelector.select(eligible, work.route().priority());
            if (chosen.isEmpty()) {
                return false;
            }
            EndpointConnectionPool pool = pools.get(chosen.get().name());
            Optional<EndpointConnection> connection =
                    pool.idleConnection(work.session().context());
            if (connection.isPresent()) {
                work.recordPrimaryWhenSent(terms.current(loop.now()));
                work.session().onStarted(work, connection.get());
                connection.get().run(work, chosen.get().primary() ? Optional.empty() : after);
                return true;
            }
            pool.openConnection();
            eligible.remove(chosen.get());
        }
    }

    /** Returns the position that a replica must hold for a statement; empty if only the primary can serve it now. */
    private Optional<LogPoint> replicaPoint(PendingStatement work) {
        if (work.needsPrimary()) {
            return Optional.empty();
        }
        Duration oldest = work.arrivedAt().minus(work.route().maxStaleness()).plus(STALENESS_MARGIN);
        return positions
                .covering(oldest)
                .map(point ->
                        work.sessionPoint().map(own -> LogPoint.max(own, point)).orElse(point));
    }

    private List<EndpointLoad> loads(PendingStatement work, Optional<LogPoint> after) {
        Optional<EndpointName> primary = terms.current(loop.now()).map(ProvenPrimary::primary);
        List<EndpointLoad> loads = new ArrayList<>();
        pools.forEach((name, pool) -> {
            boolean isPrimary = primary.equals(Optional.of(name));
            boolean mayRead =
                    after.isPresent() && !work.excludedEndpoints().contains(name) && pool.mayHaveReached(after.get());
            if (pool.isUsable() && (isPrimary || mayRead) && !isLeaving(pool, isPrimary)) {
                loads.add(new EndpointLoad(
                        name,
                        isPrimary,
                        pool.entry().failureDomain().equals(domain),
                        pool.inFlight(),
                        EndpointSelector.limitPerDaemon(pool.entry().slots(), Math.max(1, owners.size())),
                        pool.isUnresponsive()));
            }
        });
        return loads;
    }

    private boolean isLeaving(EndpointConnectionPool pool, boolean primary) {
        return pool.drainingSince()
                .filter(since -> !primary || since.plus(DRAINING_PRIMARY_LIMIT).compareTo(loop.now()) < 0)
                .isPresent();
    }

    /** Returns the endpoints that do not answer this daemon. */
    List<EndpointName> unresponsiveEndpoints() {
        return pools.entrySet().stream()
                .filter(entry -> entry.getValue().isUnresponsive())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Ends what has waited too long, and returns whether anything still waits. */
    boolean tick() {
        Duration now = loop.now();
        terms.resolvePending(now);
        pools.values().forEach(EndpointConnectionPool::closeStalled);
        pools.values().forEach(EndpointConnectionPool::probe);
        if (isOwner()) {
            pools.values().forEach(EndpointConnectionPool::warmUp);
        }
        for (PendingStatement work : queue.removeIf(work -> now.compareTo(work.deadline()) >= 0)) {
            work.session().onFailed(work, Failure.of(ErrorKind.DEADLINE_UNREACHABLE, "no endpoint was free in time"));
        }
        refuseHopeless(now);
        closeOverdue(now);
        if (isOwner() || isBusy()) {
            questions.sendIfDue(now);
        }
        dispatch();
        return isBusy() || terms.resolvePending(now);
    }

    private void closeOverdue(Duration now) {
        for (EndpointConnectionPool pool : pools.values()) {
            for (EndpointConnection connection : pool.connections()) {
                connection
                        .runningStatement()
                        .filter(work -> now.compareTo(work.deadline()) >= 0)
                        .ifPresent(work -> connection.close("its answer is overdue"));
            }
        }
    }

    /** Returns whether a statement waits or an endpoint owes an answer. */
    boolean isBusy() {
        return !queue.isEmpty() || pools.values().stream().anyMatch(EndpointConnectionPool::hasPendingRequests);
    }

    private void refuseHopeless(Duration now) {
        if (!primaryMissing()) {
            primaryMissingSince = null;
            return;
        }
        if (primaryMissingSince == null) {
            primaryMissingSince = now;
        }
        Duration since = primaryMissingSince;
        for (PendingStatement work : queue.removeIf(
                work -> replicaPoint(work).isEmpty() && Admission.shouldRejectWithoutPrimary(work, now, since))) {
            work.session().onFailed(work, Admission.noPrimaryFailure(now, since));
        }
    }

    /** Forgets what was learnt before the clock of the host was found to have jumped or stood still. */
    void discardEvidence() {
        terms.discardEvidence(loop.now());
        positions.clear();
    }

    @Override
    public void onOpened(EndpointConnection connection) {
        pool(connection).ifPresent(EndpointConnectionPool::onOpened);
        dispatch();
    }

    @Override
    public void onClosed(
            EndpointConnection connection, Optional<PendingStatement> running, Optional<EndpointError> refusal) {
        pool(connection).ifPresent(pool -> pool.onClosed(connection, refusal));
        running.ifPresent(work -> results.onConnectionLost(work));
        if (running.isEmpty()) {
            connection.transactionOwner().ifPresent(CallerSession::onTransactionLost);
        }
        dispatch();
    }

    @Override
    public void onRequestSent(EndpointConnection connection) {
        pool(connection).ifPresent(EndpointConnectionPool::onRequestSent);
    }

    @Override
    public void onResponse(EndpointConnection connection, EndpointResponse answer) {
        pool(connection).ifPresent(pool -> pool.onResponse(answer));
        Optional<ProvenPrimary> view = terms.latest()
                .filter(seen -> seen.primary().equals(connection.endpoint().name()));
        boolean provenWhenSent = view.filter(seen -> seen.provenAt()
                                .plus(FailoverTimings.DEFAULTS.evidenceMaxAge())
                                .compareTo(answer.sentAt())
                        > 0)
                .isPresent();
        if (provenWhenSent) {
            answer.position()
                    .filter(point -> point.term().number() == view.get().term())
                    .ifPresent(point -> positions.observe(answer.sentAt(), point));
        }
    }

    @Override
    public void onStatementFinished(EndpointConnection connection, PendingStatement work, EndpointResponse answer) {
        if (answer.succeeded()) {
            admission.recordServiceTime(work, loop.now().minus(answer.sentAt()));
        }
        results.onResponse(connection, work, answer);
        dispatch();
    }

    @Override
    public void onStatementRejected(EndpointConnection connection, PendingStatement work, EndpointError error) {
        if (error == EndpointError.BEHIND) {
            pool(connection).ifPresent(EndpointConnectionPool::onPositionMissing);
            work.excludedEndpoints().add(connection.endpoint().name());
        }
        results.onNotRun(work, error);
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
