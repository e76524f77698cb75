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
 * Runs the work of one database group at an owner. The public methods may be called from any thread; everything else
 * happens on the event loop of the group.
 */
public final class GroupExecutor implements WorkRunner {
    /** Retries that may be sent before any request brought in its share. */
    private static final int INITIAL_RETRIES = 10;

    private static final Duration UPKEEP_INTERVAL = Duration.ofSeconds(1);

    /** Time for work in flight after the group has another owner; the idle bound of transactions fits in. */
    private static final Duration RETIREMENT_BOUND = Duration.ofSeconds(20);

    private static final Duration RETIREMENT_LOOK = Duration.ofMillis(50);

    private static final Logger LOG = Logger.getLogger(GroupExecutor.class);

    private final GroupEnvironment environment;
    private final EventLoop loop;
    private final GroupObserver observer;
    private final GroupContext context;
    private final WorkQueue queue;
    private final AutocommitRunner singles;
    private final TransactionRunner transactions;
    private final RetryBudget retries = RetryBudget.create(INITIAL_RETRIES);
    private final RecordRefresher refresher;
    private final EndpointTargetManager targets;
    private GroupPlacement placement;
    private long nextItem = 1;

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
        this.queue = new WorkQueue(context, planner, refresher::refresh, this::begin);
        this.singles = new AutocommitRunner(context, retries, queue::add, refresher::refresh);
        this.transactions =
                new TransactionRunner(context, queue::add, refresher::refresh, environment.transactionListener());
    }

    /** Starts an executor. */
    public static GroupExecutor start(
            GroupEnvironment environment, EventLoop loop, GroupPlacement placement, GroupObserver observer) {
        GroupExecutor executor = new GroupExecutor(environment, loop, placement, observer);
        loop.execute(() -> {
            executor.applyEndpoints(placement);
            executor.refresher.refresh();
            executor.upkeep();
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
                LOG.errorf(e, "[group] A request could not be accepted.");
                pending.fail(WorkFailure.of(ErrorKind.INTERNAL_ERROR, "The owner failed."));
            }
        });
        return pending.result();
    }

    /** Applies changed settings or a changed connection share. */
    public void updatePlacement(GroupPlacement changed) {
        loop.execute(() -> {
            GroupPlacement former = placement;
            placement = changed;
            applyEndpoints(former);
            if (!former.service().ranks().equals(changed.service().ranks())) {
                queue.replaceQueue(environment.policies().queueFactory().apply(changed.service()), changed.service());
            }
            queue.scheduleDispatch();
        });
    }

    /** Makes a control call to an endpoint, such as a seal. The future never completes exceptionally. */
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

    /** Takes a group record that another part of the daemon read; it was asked for at the given monotonic time. */
    public void onRecordRead(GroupRecord record, Duration askedAt) {
        loop.execute(() -> applyRecord(record, askedAt));
    }

    /** Takes a group record of unknown age, which says who is primary but is no evidence for its term. */
    public void onRecordOfUnknownAge(GroupRecord record) {
        loop.execute(() -> {
            context.knownPrimary().applyRecord(record, loop.now());
            queue.scheduleDispatch();
        });
    }

    /** Returns the level paid for. */
    public PaidLevel paidLevel() {
        return context.usage().paidLevel();
    }

    /** Takes the level that the platform has. */
    public void mergePaidLevel(PaidLevel level) {
        context.usage().mergePaidLevel(level);
    }

    /** Returns the state of the group for operators. */
    public CompletableFuture<GroupReport> report() {
        CompletableFuture<GroupReport> result = new CompletableFuture<>();
        loop.execute(() -> result.complete(GroupReport.of(placement, context, transactions.openCount())));
        return result;
    }

    /**
     * Ends the executor with grace: waiting work is refused as not run, work in flight and open transactions end by
     * themselves within a bound. The future completes when nothing is left.
     */
    public CompletableFuture<Boolean> shutdown(Failure reason) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        loop.execute(() -> {
            queue.close(reason);
            awaitRest(loop.now().plus(RETIREMENT_BOUND), done);
        });
        return done;
    }

    /** Ends the executor at once: waiting work is refused as not run, all connections close. */
    public void shutdownNow(Failure reason) {
        loop.execute(() -> {
            queue.close(reason);
            closeLinks();
        });
    }

    private void awaitRest(Duration until, CompletableFuture<Boolean> done) {
        int rest = transactions.openCount()
                + context.targets().stream().mapToInt(EndpointTarget::inFlight).sum();
        if (rest == 0 || loop.now().compareTo(until) >= 0) {
            closeLinks();
            done.complete(true);
        } else {
            loop.scheduleAt(loop.now().plus(RETIREMENT_LOOK), () -> awaitRest(until, done));
        }
    }

    private void closeLinks() {
        transactions.abortAll();
        context.targets().forEach(target -> target.connections().close());
    }

    private void begin(PendingWork pending, EndpointTarget target) {
        if (pending.work().step() == TransactionStep.BEGIN) {
            transactions.begin(pending, target);
        } else {
            singles.start(pending, target);
        }
    }

    private int openTransactions(EndpointTarget target) {
        return transactions.openCountAt(target);
    }

    private void accept(PendingWork pending) {
        WorkRequest work = pending.work();
        if (work.step() != TransactionStep.SINGLE && work.step() != TransactionStep.BEGIN) {
            transactions.runStep(pending);
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
            retries.recordRequest();
            Access access = work.write() || work.step() == TransactionStep.BEGIN
                    ? Access.WRITE
                    : work.isLinearizableRead() ? Access.PRIMARY_READ : Access.READ;
            Duration now = loop.now();
            Duration deadline = work.deadline().compareTo(now) > 0 ? work.deadline() : now;
            pending.item(WorkItem.of(
                    nextItem++, rank.get(), access, StatementCounter.count(work.statements()), now, deadline));
            queue.add(pending);
        }
    }

    private void applyRecord(GroupRecord record, Duration askedAt) {
        context.knownPrimary().applyRecord(record, loop.now());
        context.evidenceRequester().onRecordRead(record, askedAt);
        observer.onRecordRead(record, askedAt);
        queue.scheduleDispatch();
    }

    private void applyStatus(EndpointStatus status, Duration askedAt) {
        boolean changed = context.knownPrimary().applyStatus(status, loop.now());
        context.evidenceRequester().onStatus(status, askedAt);
        observer.onStatus(status);
        if (changed || status.promisedTerm().isAfter(context.knownPrimary().term())) {
            refresher.refresh();
        }
        queue.scheduleDispatch();
    }

    private void applyEndpoints(GroupPlacement former) {
        targets.applyPlacement(placement);
        List<EndpointName> names = EndpointTargetManager.endpointNames(placement.group());
        if (context.evidenceRequester() == null || !names.equals(EndpointTargetManager.endpointNames(former.group()))) {
            context.evidenceRequester(new EvidenceRequester(
                    TermEvidence.create(names, PromotionTimings.DEFAULT),
                    placement.group().majority(),
                    loop,
                    targets::requestStatus,
                    refresher::refresh));
        }
    }

    private void upkeep() {
        if (!queue.isClosed()) {
            loop.scheduleAt(loop.now().plus(UPKEEP_INTERVAL), this::upkeep);
            targets.maintain(placement);
            queue.scheduleDispatch();
        }
    }

    private final class Events implements EndpointPoolListener {
        @Override
        public void onStatus(EndpointStatus status, Duration askedAt) {
            GroupExecutor.this.applyStatus(status, askedAt);
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
