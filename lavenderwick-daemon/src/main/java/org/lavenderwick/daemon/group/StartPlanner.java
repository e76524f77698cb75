package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

import org.lavenderwick.adapters.endpoint.TransactionStep;
import org.lavenderwick.core.admission.Access;
import org.lavenderwick.core.admission.AdmissionQueue;
import org.lavenderwick.core.admission.StartRule;
import org.lavenderwick.core.admission.WorkItem;
import org.lavenderwick.core.billing.WorkEstimate;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.routing.EndpointSnapshot;
import org.lavenderwick.core.routing.ReadRequirements;
import org.lavenderwick.core.routing.ReadRouting;
import org.lavenderwick.core.routing.RoutingDecision;

/**
 * The rule that decides whether queued work may start now, and at which endpoint. Confined to the event loop of the
 * group.
 */
final class StartPlanner implements StartRule {
    /** The expected wait if there is no connection to the endpoint; effectively unbounded. */
    private static final Duration UNBOUNDED_WAIT = Duration.ofDays(1);

    /** Connections to the primary that are reserved for work outside of open transactions. */
    private static final int RESERVED_CONNECTIONS = 2;

    /** Time allowed for a new connection to become usable; opening one takes about 12 ms. */
    private static final Duration CONNECTION_OPEN_TIME = Duration.ofMillis(20);

    private final GroupContext context;
    private final ReadRouting routing;
    private final RandomGenerator random;
    private final InstantSource wallClock;
    private final Runnable refreshReplicas;
    private final ToIntFunction<EndpointTarget> openTransactions;
    private final Map<Long, Plan> plans = new HashMap<>();

    /**
     * Creates a planner.
     *
     * @param context the state of the group
     * @param routing selects the endpoints of reads
     * @param random source of randomness for the routing
     * @param wallClock the wall clock
     * @param refreshReplicas requests the status of the replicas, which includes their log position
     * @param openTransactions returns the number of open transactions that hold a connection to a target
     */
    StartPlanner(
            GroupContext context,
            ReadRouting routing,
            RandomGenerator random,
            InstantSource wallClock,
            Runnable refreshReplicas,
            ToIntFunction<EndpointTarget> openTransactions) {
        this.context = context;
        this.routing = routing;
        this.random = random;
        this.wallClock = wallClock;
        this.refreshReplicas = refreshReplicas;
        this.openTransactions = openTransactions;
    }

    /**
     * The decision about an item that leaves the queue.
     *
     * @param target the endpoint at which the work runs; empty if the work is rejected
     * @param rejection the reason why the work is rejected; empty if it runs
     * @param estimate the expected wait and service time, for the spending policy
     */
    record Plan(Optional<EndpointTarget> target, Optional<Failure> rejection, WorkEstimate estimate) {}

    /** Returns the plan of the item that has just left the queue, and discards all plans. */
    Plan takePlan(WorkItem item) {
        Plan plan = plans.get(item.id());
        plans.clear();
        return plan;
    }

    @Override
    public boolean mayStart(WorkItem item) {
        PendingWork pending = context.pending(item.id());
        Optional<Plan> plan = item.access() == Access.READ ? planRead(pending, item) : planPrimary(pending, item);
        plan.ifPresent(decided -> plans.put(item.id(), decided));
        return plan.isPresent();
    }

    private Optional<Plan> planPrimary(PendingWork pending, WorkItem item) {
        KnownPrimary knownPrimary = context.knownPrimary();
        boolean needsEvidence = pending.work().write() || pending.work().isLinearizableRead();
        if (needsEvidence && !context.evidenceRequester().maySend(knownPrimary.term())) {
            Failure unconfirmed = Failure.of(
                    ErrorKind.TERM_UNCONFIRMED, "It cannot be shown that term " + knownPrimary.term() + " is current.");
            context.evidenceRequester().sendDueRequests(knownPrimary.term());
            pending.setWaitReason(unconfirmed);
            return context.evidenceRequester().isIsolated()
                    ? Optional.of(rejection(item, unconfirmed))
                    : Optional.empty();
        }
        Optional<EndpointTarget> primary = knownPrimary.primary().flatMap(context::target);
        if (primary.isEmpty()
                || !knownPrimary.isUsable(context.loop().now())
                || !primary.get().isUsable()) {
            pending.setWaitReason(Failure.of(ErrorKind.NO_PRIMARY, "The database group has no reachable primary."));
            return Optional.empty();
        }
        EndpointTarget target = primary.get();
        boolean isBegin = pending.work().step() == TransactionStep.BEGIN;
        if (isBegin && openTransactions.applyAsInt(target) >= maxTransactions(target)) {
            pending.setWaitReason(Failure.of(ErrorKind.QUEUE_FULL, "Too many transactions are open."));
            return Optional.empty();
        }
        pending.clearWaitReason();
        WorkEstimate estimate = estimate(item, target);
        boolean hasCapacity = target.hasCapacity(false) || (target.hasCapacity(true) && mayOpen(target, estimate));
        return hasCapacity && context.usage().mayStart(estimate)
                ? Optional.of(new Plan(primary, Optional.empty(), estimate))
                : Optional.empty();
    }

    /** Returns how many transactions may be open at the target, so that some connections remain for other work. */
    private static int maxTransactions(EndpointTarget target) {
        return Math.max(1, target.connections().poolState().trafficShare() - RESERVED_CONNECTIONS);
    }

    private Optional<Plan> planRead(PendingWork pending, WorkItem item) {
        RoutingDecision decision = route(pending, true);
        Optional<EndpointTarget> target = targetOf(decision);
        if (target.isPresent()
                && !target.get().hasCapacity(false)
                && !mayOpen(target.get(), estimate(item, target.get()))) {
            decision = route(pending, false);
            target = targetOf(decision);
        }
        boolean isAtReplica = target.filter(selected -> !context.knownPrimary().isPrimary(selected.name()))
                .isPresent();
        if (!isAtReplica) {
            refreshReplicas.run();
        }
        if (decision instanceof RoutingDecision.Reject rejected) {
            if (rejected.failure().kind() == ErrorKind.SESSION_WRITE_LOST) {
                return Optional.of(rejection(item, rejected.failure()));
            }
            pending.setWaitReason(rejected.failure());
            return Optional.empty();
        }
        if (target.isEmpty() || !target.get().hasCapacity(true)) {
            return Optional.empty();
        }
        pending.clearWaitReason();
        WorkEstimate estimate = estimate(item, target.get());
        return context.usage().mayStart(estimate)
                ? Optional.of(new Plan(target, Optional.empty(), estimate))
                : Optional.empty();
    }

    private Plan rejection(WorkItem item, Failure failure) {
        return new Plan(Optional.empty(), Optional.of(failure), estimate(item, Duration.ZERO, Duration.ZERO));
    }

    private Optional<EndpointTarget> targetOf(RoutingDecision decision) {
        return decision instanceof RoutingDecision.SendTo to ? context.target(to.endpoint()) : Optional.empty();
    }

    private RoutingDecision route(PendingWork pending, boolean mayOpen) {
        Optional<EndpointName> primary = context.knownPrimary().primary();
        Collection<EndpointSnapshot> snapshots = context.targets().stream()
                .map(target -> target.snapshot(
                        primary.filter(target.name()::equals).isPresent(), mayOpen, wallClock.instant()))
                .toList();
        ReadRequirements requirements = new ReadRequirements(
                pending.work().minimumPoint(),
                pending.work().maxStaleness(),
                wallClock.instant(),
                context.knownPrimary().termStarts());
        return routing.choose(snapshots, requirements, random);
    }

    /**
     * Returns whether a connection to the target may be opened for the work. The spending policy is not consulted if
     * open transactions hold all traffic connections, because the work could not start otherwise.
     */
    private boolean mayOpen(EndpointTarget target, WorkEstimate estimate) {
        if (!target.hasCapacity(true)) {
            return false;
        }
        WorkEstimate withOpening = new WorkEstimate(
                estimate.rank(),
                estimate.statements(),
                estimate.timeUntilDue(),
                estimate.expectedWait(),
                estimate.expectedService().plus(CONNECTION_OPEN_TIME));
        return nonTransactionConnections(target) <= 0 || context.usage().mayOpenConnection(withOpening);
    }

    /** Returns the number of traffic connections that are not held by an open transaction. */
    private int nonTransactionConnections(EndpointTarget target) {
        return target.connections().trafficConnections() - openTransactions.applyAsInt(target);
    }

    private WorkEstimate estimate(WorkItem item, EndpointTarget target) {
        AdmissionQueue queue = context.queue();
        Duration wait = target.connections().trafficConnections() == 0
                ? UNBOUNDED_WAIT
                : queue.expectedWait(item.rank(), item.access());
        return estimate(item, wait, target.latency());
    }

    private WorkEstimate estimate(WorkItem item, Duration wait, Duration service) {
        return new WorkEstimate(
                item.rank(), item.statements(), item.due().minus(context.loop().now()), wait, service);
    }
}
