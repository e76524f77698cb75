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
import org.lavenderwick.core.admission.Refusal;
import org.lavenderwick.core.admission.RetryBudget;
import org.lavenderwick.core.admission.WorkItem;
import org.lavenderwick.core.billing.PaidLevel;
import org.lavenderwick.core.configuration.RankSettings;
import org.lavenderwick.core.configuration.ServiceSettings;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.promotion.GroupRecord;
import org.lavenderwick.core.promotion.PromotionTimings;
import org.lavenderwick.core.promotion.TermEvidence;

/**
 * Runs the work of one database group at an owner. The public methods may be called from any thread; everything else
 * happens on the event loop of the group.
 */
public final class GroupExecutor implements WorkRunner {
    /** Pause between two looks at a queue whose work could not start. */
    private static final Duration LOOK_INTERVAL = Duration.ofMillis(5);

    /** Retries that may be sent before any request brought in its share. */
    private static final int INITIAL_RETRIES = 10;

    private static final Duration UPKEEP_INTERVAL = Duration.ofSeconds(1);

    private static final Logger LOG = Logger.getLogger(GroupExecutor.class);

    private final GroupEnvironment environment;
    private final EventLoop loop;
    private final GroupObserver observer;
    private final GroupContext context;
    private final StartPlanner planner;
    private final SingleRunner singles;
    private final TransactionRunner transactions;
    private final RetryBudget retries = RetryBudget.create(INITIAL_RETRIES);
    private final RecordRefresher refresher;
    private final TargetSet targets;
    private GroupPlacement placement;
    private long nextItem = 1;
    private boolean lookPlanned;
    private boolean lookDue;
    private boolean closed;

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
                new UsageMeter(policies.spending().apply(service), environment.wallClock()),
                policies.queue().apply(service),
                environment.callTimeout());
        this.targets = new TargetSet(environment, context, new Events());
        this.planner = new StartPlanner(
                context,
                policies.routing(),
                environment.random(),
                environment.wallClock(),
                new ReplicaRefresher(context, targets::askStatus)::refresh,
                target -> openTransactions(target));
        this.refresher = new RecordRefresher(
                environment.records(),
                placement.group(),
                environment.operationPrefix() + "/" + placement.group().name(),
                loop,
                this::recordSeen);
        this.singles = new SingleRunner(context, retries, this::requeue, refresher::refresh);
        this.transactions =
                new TransactionRunner(context, this::requeue, refresher::refresh, environment.transactions());
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
    public CompletableFuture<Either<WorkFailure, WorkAnswer>> run(Work work) {
        Pending pending = new Pending(work);
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
    public void update(GroupPlacement changed) {
        loop.execute(() -> {
            GroupPlacement former = placement;
            placement = changed;
            applyEndpoints(former);
            if (!former.service().ranks().equals(changed.service().ranks())) {
                replaceQueue(changed.service());
            }
            look();
        });
    }

    /** Makes a control call to an endpoint, such as a seal. The future never completes exceptionally. */
    public CompletableFuture<Either<Failure, EndpointStatus>> control(
            EndpointName endpoint,
            Function<EndpointConnection, CompletableFuture<Either<Failure, EndpointStatus>>> call) {
        CompletableFuture<Either<Failure, EndpointStatus>> result = new CompletableFuture<>();
        loop.execute(() -> {
            Optional<Target> target = context.target(endpoint);
            if (target.isEmpty()) {
                result.complete(Either.left(
                        Failure.of(ErrorKind.NO_ELIGIBLE_ENDPOINT, "Endpoint " + endpoint + " is not in the group.")));
            } else {
                target.get().link().control(call, result::complete);
            }
        });
        return result;
    }

    /** Takes a group record that another part of the daemon read; it was asked for at the given monotonic time. */
    public void record(GroupRecord record, Duration askedAt) {
        loop.execute(() -> recordSeen(record, askedAt));
    }

    /** Takes a group record of unknown age, which says who is primary but is no evidence for its term. */
    public void hint(GroupRecord record) {
        loop.execute(() -> {
            context.primaryView().recordSeen(record, loop.now());
            look();
        });
    }

    /** Returns the level paid for. */
    public PaidLevel paidLevel() {
        return context.usage().paid();
    }

    /** Takes the level that the platform has. */
    public void paidElsewhere(PaidLevel level) {
        context.usage().paidElsewhere(level);
    }

    /** Returns the state of the group for operators. */
    public CompletableFuture<GroupReport> report() {
        CompletableFuture<GroupReport> result = new CompletableFuture<>();
        loop.execute(() -> result.complete(GroupReport.of(placement, context, transactions.openCount())));
        return result;
    }

    /** Ends the executor: waiting work is refused as not run, open transactions are rolled back. */
    public CompletableFuture<Boolean> close(Failure reason) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        loop.execute(() -> {
            closed = true;
            refuse(context.queue().clear(reason));
            transactions.abortAll();
            context.targets().forEach(target -> target.link().close());
            done.complete(true);
        });
        return done;
    }

    private int openTransactions(Target target) {
        return transactions.openAt(target);
    }

    private void accept(Pending pending) {
        Work work = pending.work();
        if (closed) {
            pending.fail(WorkFailure.of(ErrorKind.OWNER_UNREACHABLE, "The daemon does not own the group any more."));
        } else if (work.step() != TransactionStep.SINGLE && work.step() != TransactionStep.BEGIN) {
            transactions.step(pending);
        } else {
            Optional<RankSettings> rank = work.rank().flatMap(placement.service()::rank);
            if (rank.isEmpty()) {
                pending.fail(WorkFailure.of(ErrorKind.UNKNOWN_RANK, "The service has no such rank."));
                return;
            }
            retries.request();
            Access access = work.write() || work.step() == TransactionStep.BEGIN
                    ? Access.WRITE
                    : work.currentRead() ? Access.PRIMARY_READ : Access.READ;
            Duration now = loop.now();
            Duration deadline = work.deadline().compareTo(now) > 0 ? work.deadline() : now;
            pending.item(WorkItem.of(
                    nextItem++, rank.get(), access, StatementCounter.count(work.statements()), now, deadline));
            requeue(pending);
        }
    }

    private void requeue(Pending pending) {
        if (closed) {
            pending.fail(WorkFailure.of(ErrorKind.OWNER_UNREACHABLE, "The daemon does not own the group any more."));
            return;
        }
        context.addPending(pending.item().id(), pending);
        Either<Failure, List<Refusal>> offered = context.queue().offer(pending.item(), loop.now());
        if (offered.isLeft()) {
            context.removePending(pending.item().id());
            pending.giveUp(offered.getLeft());
        } else {
            refuse(offered.get());
        }
        look();
    }

    /** Starts what may start, gives up what is too late, and comes back while work waits. */
    private void look() {
        refuse(context.queue().expire(loop.now()));
        Optional<WorkItem> next = context.queue().take(planner, loop.now());
        while (next.isPresent()) {
            begin(next.get());
            next = context.queue().take(planner, loop.now());
        }
        if (context.queue().size() > 0) {
            if (!context.primaryView().usable(loop.now())) {
                refresher.refresh();
            }
            if (!lookPlanned) {
                lookPlanned = true;
                loop.at(loop.now().plus(LOOK_INTERVAL), () -> {
                    lookPlanned = false;
                    look();
                });
            }
        }
    }

    private void begin(WorkItem item) {
        StartPlanner.Plan plan = planner.planOf(item);
        Optional<Pending> pending = context.removePending(item.id());
        if (pending.isEmpty()) {
            return;
        }
        if (plan.refusal().isPresent()) {
            boolean lost = plan.refusal().get().kind() == ErrorKind.SESSION_WRITE_LOST;
            pending.get()
                    .fail(new WorkFailure(plan.refusal().get(), lost ? Optional.of(newestPoint()) : Optional.empty()));
            return;
        }
        context.usage().started(plan.demand());
        if (pending.get().work().step() == TransactionStep.BEGIN) {
            transactions.begin(pending.get(), plan.target().orElseThrow());
        } else {
            singles.start(pending.get(), plan.target().orElseThrow());
        }
    }

    /** Returns the newest point that is known to last: that of the primary, else the start of its term. */
    private LogPoint newestPoint() {
        PrimaryView view = context.primaryView();
        long start = view.termStarts().isEmpty()
                ? 0
                : view.termStarts().get(view.termStarts().size() - 1).position();
        return view.primary()
                .flatMap(context::target)
                .flatMap(target -> target.link().lastStatus())
                .map(EndpointStatus::point)
                .filter(point -> point.term().equals(view.term()))
                .orElse(new LogPoint(view.term(), start));
    }

    private void refuse(List<Refusal> refusals) {
        for (Refusal refusal : refusals) {
            context.removePending(refusal.item().id()).ifPresent(pending -> pending.giveUp(refusal.failure()));
        }
    }

    private void recordSeen(GroupRecord record, Duration askedAt) {
        context.primaryView().recordSeen(record, loop.now());
        context.evidence().recordSeen(record, askedAt);
        observer.recordSeen(record, askedAt);
        look();
    }

    private void statusSeen(EndpointStatus status, Duration askedAt) {
        boolean changed = context.primaryView().statusSeen(status, loop.now());
        context.evidence().statusSeen(status, askedAt);
        observer.statusSeen(status);
        if (changed || status.promisedTerm().isAfter(context.primaryView().term())) {
            refresher.refresh();
        }
        lookSoon();
    }

    private void replaceQueue(ServiceSettings service) {
        List<Refusal> waiting = context.queue().clear(Failure.of(ErrorKind.UNKNOWN_RANK, "The rank was removed."));
        context.queue(environment.policies().queue().apply(service));
        for (Refusal moved : waiting) {
            context.removePending(moved.item().id()).ifPresent(pending -> {
                if (service.rank(moved.item().rank()).isPresent()) {
                    requeue(pending);
                } else {
                    pending.fail(WorkFailure.of(moved.failure()));
                }
            });
        }
    }

    private void applyEndpoints(GroupPlacement former) {
        targets.apply(placement);
        List<EndpointName> names = TargetSet.names(placement.group());
        if (context.evidence() == null || !names.equals(TargetSet.names(former.group()))) {
            context.evidence(new EvidenceKeeper(
                    TermEvidence.create(names, PromotionTimings.DEFAULT),
                    placement.group().majority(),
                    loop,
                    targets::askStatus,
                    refresher::refresh));
        }
    }

    private void upkeep() {
        if (!closed) {
            loop.at(loop.now().plus(UPKEEP_INTERVAL), this::upkeep);
            targets.upkeep(placement);
            look();
        }
    }

    /** Looks at the queue after the present task, once for any number of calls. */
    private void lookSoon() {
        if (!lookDue && context.queue().size() > 0) {
            lookDue = true;
            loop.execute(() -> {
                lookDue = false;
                look();
            });
        }
    }

    private final class Events implements LinkEvents {
        @Override
        public void statusSeen(EndpointStatus status, Duration askedAt) {
            GroupExecutor.this.statusSeen(status, askedAt);
        }

        @Override
        public void connectionFreed() {
            lookSoon();
        }

        @Override
        public void connectionsChanged() {
            context.usage().connections(context.openConnections());
        }
    }
}
