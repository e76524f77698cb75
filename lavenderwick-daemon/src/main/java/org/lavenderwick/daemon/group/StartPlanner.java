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

/** Decides whether a waiting item may start now, and where. Confined to the event loop of the group. */
final class StartPlanner implements StartRule {
    /** Stands for a wait without end, as when no connection to the endpoint exists. */
    private static final Duration ENDLESS = Duration.ofDays(1);

    /** Connections to the primary that no open transaction may hold. */
    private static final int KEPT_CONNECTIONS = 2;

    /** Time until a connection that is opened now can be used; an open takes about 12 ms. */
    private static final Duration OPEN_TIME = Duration.ofMillis(20);

    private final GroupContext state;
    private final ReadRouting routing;
    private final RandomGenerator random;
    private final InstantSource wallClock;
    private final Runnable refreshReplicas;
    private final ToIntFunction<EndpointTarget> openTransactions;
    private final Map<Long, Plan> plans = new HashMap<>();

    /**
     * Creates a planner.
     *
     * @param state the state of the group
     * @param routing chooses the endpoints of reads
     * @param random source of the choices of routing
     * @param wallClock wall time
     * @param refreshReplicas asks replicas how far they are
     * @param openTransactions number of open transactions that hold a connection of a target
     */
    StartPlanner(
            GroupContext state,
            ReadRouting routing,
            RandomGenerator random,
            InstantSource wallClock,
            Runnable refreshReplicas,
            ToIntFunction<EndpointTarget> openTransactions) {
        this.state = state;
        this.routing = routing;
        this.random = random;
        this.wallClock = wallClock;
        this.refreshReplicas = refreshReplicas;
        this.openTransactions = openTransactions;
    }

    /**
     * What to do with an item that was taken from the queue.
     *
     * @param target where it runs; empty if it is refused
     * @param refusal why it is refused
     * @param demand what it asks of the spending policy
     */
    record Plan(Optional<EndpointTarget> target, Optional<Failure> rejection, WorkEstimate estimate) {}

    /** Returns the plan of an item that was just taken. */
    Plan takePlan(WorkItem item) {
        Plan plan = plans.get(item.id());
        plans.clear();
        return plan;
    }

    @Override
    public boolean mayStart(WorkItem item) {
        PendingWork pending = state.pending(item.id());
        Optional<Plan> plan = item.access() == Access.READ ? planRead(pending, item) : planPrimary(pending, item);
        plan.ifPresent(made -> plans.put(item.id(), made));
        return plan.isPresent();
    }

    private Optional<Plan> planPrimary(PendingWork pending, WorkItem item) {
        KnownPrimary view = state.knownPrimary();
        boolean needsEvidence = pending.work().write() || pending.work().isLinearizableRead();
        if (needsEvidence && !state.evidenceRequester().maySend(view.term())) {
            Failure unconfirmed = Failure.of(
                    ErrorKind.TERM_UNCONFIRMED, "It cannot be shown that term " + view.term() + " is current.");
            state.evidenceRequester().sendDueRequests(view.term());
            pending.setWaitReason(unconfirmed);
            return state.evidenceRequester().isIsolated() ? Optional.of(refusal(item, unconfirmed)) : Optional.empty();
        }
        Optional<EndpointTarget> primary = view.primary().flatMap(state::target);
        if (primary.isEmpty()
                || !view.isUsable(state.loop().now())
                || !primary.get().isUsable()) {
            pending.setWaitReason(Failure.of(ErrorKind.NO_PRIMARY, "The database group has no reachable primary."));
            return Optional.empty();
        }
        EndpointTarget target = primary.get();
        boolean begin = pending.work().step() == TransactionStep.BEGIN;
        if (begin && openTransactions.applyAsInt(target) >= maxTransactions(target)) {
            pending.setWaitReason(Failure.of(ErrorKind.QUEUE_FULL, "Too many transactions are open."));
            return Optional.empty();
        }
        pending.clearWaitReason();
        WorkEstimate demand = demand(item, target);
        boolean room = target.hasCapacity(false) || (target.hasCapacity(true) && mayOpen(target, demand));
        return room && state.usage().mayStart(demand)
                ? Optional.of(new Plan(primary, Optional.empty(), demand))
                : Optional.empty();
    }

    /** Open transactions hold connections, so some are kept for other work. */
    private static int maxTransactions(EndpointTarget target) {
        return Math.max(1, target.connections().poolState().trafficShare() - KEPT_CONNECTIONS);
    }

    private Optional<Plan> planRead(PendingWork pending, WorkItem item) {
        RoutingDecision route = route(pending, true);
        Optional<EndpointTarget> target = chosen(route);
        if (target.isPresent()
                && !target.get().hasCapacity(false)
                && !mayOpen(target.get(), demand(item, target.get()))) {
            route = route(pending, false);
            target = chosen(route);
        }
        boolean atReplica = target.filter(chosen -> !state.knownPrimary().isPrimary(chosen.name()))
                .isPresent();
        if (!atReplica) {
            refreshReplicas.run();
        }
        if (route instanceof RoutingDecision.Reject refuse) {
            if (refuse.failure().kind() == ErrorKind.SESSION_WRITE_LOST) {
                return Optional.of(refusal(item, refuse.failure()));
            }
            pending.setWaitReason(refuse.failure());
            return Optional.empty();
        }
        if (target.isEmpty() || !target.get().hasCapacity(true)) {
            return Optional.empty();
        }
        pending.clearWaitReason();
        WorkEstimate demand = demand(item, target.get());
        return state.usage().mayStart(demand)
                ? Optional.of(new Plan(target, Optional.empty(), demand))
                : Optional.empty();
    }

    private Plan refusal(WorkItem item, Failure failure) {
        return new Plan(Optional.empty(), Optional.of(failure), demand(item, Duration.ZERO, Duration.ZERO));
    }

    private Optional<EndpointTarget> chosen(RoutingDecision route) {
        return route instanceof RoutingDecision.SendTo to ? state.target(to.endpoint()) : Optional.empty();
    }

    private RoutingDecision route(PendingWork pending, boolean mayOpen) {
        Optional<EndpointName> primary = state.knownPrimary().primary();
        Collection<EndpointSnapshot> views = state.targets().stream()
                .map(target -> target.snapshot(
                        primary.filter(target.name()::equals).isPresent(), mayOpen, wallClock.instant()))
                .toList();
        ReadRequirements needs = new ReadRequirements(
                pending.work().minimumPoint(),
                pending.work().maxStaleness(),
                wallClock.instant(),
                state.knownPrimary().termStarts());
        return routing.choose(views, needs, random);
    }

    /**
     * An endpoint whose traffic connections are all held by transactions gets another one in any case, since the work
     * would not start otherwise.
     */
    private boolean mayOpen(EndpointTarget target, WorkEstimate demand) {
        if (!target.hasCapacity(true)) {
            return false;
        }
        WorkEstimate withOpening = new WorkEstimate(
                demand.rank(),
                demand.statements(),
                demand.timeUntilDue(),
                demand.expectedWait(),
                demand.expectedService().plus(OPEN_TIME));
        return sharedConnections(target) <= 0 || state.usage().mayOpenConnection(withOpening);
    }

    /** Returns the number of traffic connections that no open transaction holds. */
    private int sharedConnections(EndpointTarget target) {
        return target.connections().trafficConnections() - openTransactions.applyAsInt(target);
    }

    private WorkEstimate demand(WorkItem item, EndpointTarget target) {
        AdmissionQueue queue = state.queue();
        Duration wait = target.connections().trafficConnections() == 0
                ? ENDLESS
                : queue.expectedWait(item.rank(), item.access());
        return demand(item, wait, target.latency());
    }

    private WorkEstimate demand(WorkItem item, Duration wait, Duration service) {
        return new WorkEstimate(
                item.rank(), item.statements(), item.due().minus(state.loop().now()), wait, service);
    }
}
