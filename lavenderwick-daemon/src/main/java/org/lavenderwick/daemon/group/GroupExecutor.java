package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.endpoint.EndpointConnection;
import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.adapters.endpoint.TransactionStep;
import org.lavenderwick.core.admission.Access;
import org.lavenderwick.core.admission.RetryBudget;
import org.lavenderwick.core.admission.WorkItem;
import org.lavenderwick.core.billing.PaidLevel;
import org.lavenderwick.core.configuration.RankSettings;
import org.lavenderwick.core.configuration.ServiceSettings;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.promotion.GroupRecord;
import org.lavenderwick.core.promotion.PromotionTimings;
import org.lavenderwick.core.promotion.TermEvidence;

/**
 * The executor of requests for one database group at an owner. The public methods are thread-safe; all other methods
 * run on the event loop of the group.
 */
public final class GroupExecutor implements WorkRunner {
    /** Retries allowed before the first requests have added to the retry budget. */
    private static final int INITIAL_RETRIES = 10;

    private static final Duration MAINTENANCE_INTERVAL = Duration.ofSeconds(1);

    /** Time for work in flight after the group has moved to another owner; longer than the transaction idle timeout. */
    private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(20);

    private static final Duration SHUTDOWN_POLL_INTERVAL = Duration.ofMillis(50);

    private static final Logger LOG = Logger.getLogger(GroupExecutor.class);

    private final GroupEnvironment environment;
    private final EventLoop loop;
    private final GroupObserver observer;
    private final GroupContext context;
    private final WorkQueue queue;
    private final AutocommitRunner autocommitRunner;
    private final TransactionRunner transactionRunner;
    private final RetryBudget retryBudget = RetryBudget.create(INITIAL_RETRIES);
    private final RecordRefresher refresher;
    private final EndpointTargetManager targets;
    private GroupPlacement placement;
    private long nextItemId = 1;

    private GroupExecutor(
            GroupEnvironment environment, EventLoop loop, GroupPlacement placement, GroupObserver observer) {
        this.environment = environment;
        this.loop = loop;
        this.observer = observer;
        this.placement = placement;
        ServiceSettings service = placement.service();
        Policies policies = environment.policies();
        this.context = new GroupContext(
                loop,
                new UsageMeter(policies.spendingFactory().apply(service), environment.wallClock()),
                policies.queueFactory().apply(service),
                environment.callTimeout());
        this.targets = new EndpointTargetManager(environment, context, new Events());
        StartPlanner planner = new StartPlanner(
                context,
                policies.routing(),
                environment.random(),
                environment.wallClock(),
                new ReplicaStatusRefresher(context, targets::requestStatus)::refresh,
                target -> openTransactions(target));
        this.refresher = new RecordRefresher(
                environment.records(),
                placement.group(),
                environment.operationIdPrefix() + "/" + placement.group().name(),
                loop,
                this::applyRecord);
        this.queue = new WorkQueue(context, planner, refresher::refresh, this::startWork);
        this.autocommitRunner = new AutocommitRunner(context, retryBudget, queue::add, refresher::refresh);
        this.transactionRunner =
                new TransactionRunner(context, queue::add, refresher::refresh, environment.transactionListener());
    }

    /** Creates and starts an executor on the event loop. */
    public static GroupExecutor start(
            GroupEnvironment environment, EventLoop loop, GroupPlacement placement, GroupObserver observer) {
        GroupExecutor executor = new GroupExecutor(environment, loop, placement, observer);
        loop.execute(() -> {
            executor.applyEndpoints(placement);
            executor.refresher.refresh();
            executor.runMaintenance();
        });
        return executor;
    }

    @Override
    public CompletableFuture<Either<WorkFailure, WorkResponse>> run(WorkRequest work) {
        PendingWork pending = new PendingWork(work);
        loop.execute(() -> {
            try {
                accept(pending);
            } catch (RuntimeException e) {
                LOG.errorf(
                        e,
                        "[group] %s: a request could not be accepted; it fails with an internal error.",
                        work.group());
                pending.fail(WorkFailure.of(ErrorKind.INTERNAL_ERROR, "The owner failed."));
            }
        });
        return pending.result();
    }

    /** Applies changed settings of the group or its service, or a changed connection share of this owner. */
    public void updatePlacement(GroupPlacement changed) {
        loop.execute(() -> {
            GroupPlacement previous = placement;
            placement = changed;
            applyEndpoints(previous);
            if (!previous.service().ranks().equals(changed.service().ranks())) {
                queue.replaceQueue(environment.policies().queueFactory().apply(changed.service()), changed.service());
            }
            queue.scheduleDispatch();
        });
    }

    /**
     * Makes a control call to an endpoint, for example to seal it.
     *
     * @return the status of the endpoint, or a failure if the endpoint does not belong to the group or the call failed;
     *     the future never completes exceptionally
     */
    public CompletableFuture<Either<Failure, EndpointStatus>> control(
            EndpointName endpoint,
            Function<EndpointConnection, CompletableFuture<Either<Failure, EndpointStatus>>> call) {
        CompletableFuture<Either<Failure, EndpointStatus>> result = new CompletableFuture<>();
        loop.execute(() -> {
            Optional<EndpointTarget> target = context.target(endpoint);
            if (target.isEmpty()) {
                result.complete(Either.left(
                        Failure.of(ErrorKind.NO_ELIGIBLE_ENDPOINT, "Endpoint " + endpoint + " is not in the group.")));
            } else {
                target.get().connections().callOnControlConnection(call, result::complete);
            }
        });
        return result;
    }

    /**
     * Takes in a group record that another part of the daemon has read.
     *
     * @param sentAt monotonic time read before the request for the record was sent
     */
    public void onRecordRead(GroupRecord record, Duration sentAt) {
        loop.execute(() -> applyRecord(record, sentAt));
    }

    /** Takes in a group record of unknown age. It names the primary but is not evidence for the primary's term. */
    public void onRecordOfUnknownAge(GroupRecord record) {
        loop.execute(() -> {
            context.knownPrimary().applyRecord(record, loop.now());
            queue.scheduleDispatch();
        });
    }

    /** Returns the usage of the group that is already paid for in the billing period. */
    public PaidLevel paidLevel() {
        return context.usage().paidLevel();
    }

    /** Merges a paid level that was read from the platform into that of this owner. */
    public void mergePaidLevel(PaidLevel level) {
        context.usage().mergePaidLevel(level);
    }

    /** Returns a report of the state of the group for operators. */
    public CompletableFuture<GroupReport> report() {
        CompletableFuture<GroupReport> result = new CompletableFuture<>();
        loop.execute(() -> result.complete(GroupReport.of(placement, context, transactionRunner.openCount())));
        return result;
    }

    /**
     * Shuts the executor down gracefully. Queued work is rejected as not run. Work in flight and open transactions may
     * still complete until a timeout. The future completes when none are left or the timeout has passed, after all
     * connections have been closed.
     */
    public CompletableFuture<Boolean> shutdown(Failure reason) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        loop.execute(() -> {
            queue.close(reason);
            awaitInFlightWork(loop.now().plus(SHUTDOWN_TIMEOUT), done);
        });
        return done;
    }

    /** Shuts the executor down immediately: rejects queued work as not run and closes all connections. */
    public void shutdownNow(Failure reason) {
        loop.execute(() -> {
            queue.close(reason);
            closeConnections();
        });
    }

    private void awaitInFlightWork(Duration until, CompletableFuture<Boolean> done) {
        int inFlight = transactionRunner.openCount()
                + context.targets().stream().mapToInt(EndpointTarget::inFlight).sum();
        if (inFlight == 0 || loop.now().compareTo(until) >= 0) {
            closeConnections();
            done.complete(true);
        } else {
            loop.scheduleAt(loop.now().plus(SHUTDOWN_POLL_INTERVAL), () -> awaitInFlightWork(until, done));
        }
    }

    private void closeConnections() {
        transactionRunner.abortAll();
        context.targets().forEach(target -> target.connections().close());
    }

    private void startWork(PendingWork pending, EndpointTarget target) {
        if (pending.work().step() == TransactionStep.BEGIN) {
            transactionRunner.begin(pending, target);
        } else {
            autocommitRunner.start(pending, target);
        }
    }

    private int openTransactions(EndpointTarget target) {
        return transactionRunner.openCountAt(target);
    }

    private void accept(PendingWork pending) {
        WorkRequest work = pending.work();
        if (work.step() != TransactionStep.SINGLE && work.step() != TransactionStep.BEGIN) {
            transactionRunner.runStep(pending);
        } else if (queue.isClosed()) {
            pending.fail(WorkFailure.of(ErrorKind.OWNER_UNREACHABLE, "The daemon does not own the group any more."));
        } else if (!targets.hasConnectionShare()) {
            pending.fail(WorkFailure.of(ErrorKind.OWNER_UNREACHABLE, "A former owner still holds the connections."));
        } else {
            Optional<RankSettings> rank = work.rank().flatMap(placement.service()::rank);
            if (rank.isEmpty()) {
                pending.fail(WorkFailure.of(ErrorKind.UNKNOWN_RANK, "The service has no such rank."));
                return;
            }
            retryBudget.recordRequest();
            Access access = work.write() || work.step() == TransactionStep.BEGIN
                    ? Access.WRITE
                    : work.isLinearizableRead() ? Access.PRIMARY_READ : Access.READ;
            Duration now = loop.now();
            Duration deadline = work.deadline().compareTo(now) > 0 ? work.deadline() : now;
            pending.item(WorkItem.of(
                    nextItemId++, rank.get(), access, StatementCounter.count(work.statements()), now, deadline));
            queue.add(pending);
        }
    }

    private void applyRecord(GroupRecord record, Duration sentAt) {
        context.knownPrimary().applyRecord(record, loop.now());
        context.evidenceRequester().onRecordRead(record, sentAt);
        observer.onRecordRead(record, sentAt);
        queue.scheduleDispatch();
    }

    private void applyStatus(EndpointStatus status, Duration sentAt) {
        boolean changed = context.knownPrimary().applyStatus(status, loop.now());
        context.evidenceRequester().onStatus(status, sentAt);
        observer.onStatus(status);
        if (changed || status.promisedTerm().isAfter(context.knownPrimary().term())) {
            refresher.refresh();
        }
        queue.scheduleDispatch();
    }

    private void applyEndpoints(GroupPlacement previous) {
        targets.applyPlacement(placement);
        List<EndpointName> names = EndpointTargetManager.endpointNames(placement.group());
        if (context.evidenceRequester() == null
                || !names.equals(EndpointTargetManager.endpointNames(previous.group()))) {
            context.evidenceRequester(new EvidenceRequester(
                    TermEvidence.create(names, PromotionTimings.DEFAULT),
                    placement.group().majority(),
                    loop,
                    targets::requestStatus,
                    refresher::refresh));
        }
    }

    private void runMaintenance() {
        if (!queue.isClosed()) {
            loop.scheduleAt(loop.now().plus(MAINTENANCE_INTERVAL), this::runMaintenance);
            targets.maintain(placement);
            queue.scheduleDispatch();
        }
    }

    private final class Events implements EndpointPoolListener {
        @Override
        public void onStatus(EndpointStatus status, Duration sentAt) {
            GroupExecutor.this.applyStatus(status, sentAt);
        }

        @Override
        public void onConnectionAvailable() {
            queue.scheduleDispatch();
        }

        @Override
        public void onConnectionCountChanged() {
            context.usage().recordOpenConnections(context.openConnections());
        }
    }
}
