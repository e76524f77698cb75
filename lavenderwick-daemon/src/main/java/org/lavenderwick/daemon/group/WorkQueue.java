package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

import io.vavr.control.Either;
import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.core.admission.AdmissionQueue;
import org.lavenderwick.core.admission.RejectedItem;
import org.lavenderwick.core.admission.WorkItem;
import org.lavenderwick.core.configuration.ServiceSettings;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.LogPoint;

/**
 * The queue of work that waits for an endpoint. It starts work as soon as the {@link StartPlanner} permits it. Confined
 * to the event loop of the group.
 */
final class WorkQueue {
    /** Time between two dispatches while work waits; a few milliseconds can decide whether a latency target is met. */
    private static final Duration DISPATCH_INTERVAL = Duration.ofMillis(5);

    private final GroupContext context;
    private final StartPlanner planner;
    private final Runnable refreshRecord;
    private final BiConsumer<PendingWork, EndpointTarget> starter;
    private boolean timerSet;
    private boolean dispatchScheduled;
    private boolean closed;

    /**
     * Creates a queue.
     *
     * @param context the state of the group
     * @param planner decides what may start
     * @param refreshRecord requests the group record from the platform
     * @param starter starts work at an endpoint
     */
    WorkQueue(
            GroupContext context,
            StartPlanner planner,
            Runnable refreshRecord,
            BiConsumer<PendingWork, EndpointTarget> starter) {
        this.context = context;
        this.planner = planner;
        this.refreshRecord = refreshRecord;
        this.starter = starter;
    }

    boolean isClosed() {
        return closed;
    }

    /** Rejects all waiting work with the given failure, and all later work as not owned by this daemon. */
    void close(Failure reason) {
        closed = true;
        rejectItems(context.queue().rejectAll(reason));
    }

    /** Adds new work, or work that is retried after an earlier attempt. */
    void add(PendingWork pending) {
        if (closed) {
            pending.fail(WorkFailure.of(ErrorKind.OWNER_UNREACHABLE, "The daemon does not own the group any more."));
            return;
        }
        long id = pending.item().id();
        context.addPending(id, pending);
        Either<Failure, List<RejectedItem>> offer =
                context.queue().offer(pending.item(), context.loop().now());
        if (offer.isLeft()) {
            context.removePending(id);
            pending.reject(offer.getLeft());
        } else {
            rejectItems(offer.get());
        }
        scheduleDispatch();
    }

    /** Schedules one dispatch after the current task of the event loop, unless one is scheduled already. */
    void scheduleDispatch() {
        if (!dispatchScheduled && context.queue().size() > 0) {
            dispatchScheduled = true;
            context.loop().execute(() -> {
                dispatchScheduled = false;
                dispatch();
            });
        }
    }

    /** Moves the waiting work to a new queue after the ranks have changed; work of removed ranks fails. */
    void replaceQueue(AdmissionQueue successor, ServiceSettings service) {
        List<RejectedItem> waiting =
                context.queue().rejectAll(Failure.of(ErrorKind.UNKNOWN_RANK, "The rank was removed."));
        context.queue(successor);
        for (RejectedItem moved : waiting) {
            context.removePending(moved.item().id()).ifPresent(pending -> {
                if (service.rank(moved.item().rank()).isPresent()) {
                    add(pending);
                } else {
                    pending.fail(WorkFailure.of(moved.failure()));
                }
            });
        }
    }

    /** Rejects expired work, starts the work that may start, and sets a timer for the next dispatch if work remains. */
    private void dispatch() {
        Duration now = context.loop().now();
        rejectItems(context.queue().removeExpired(now));
        Optional<WorkItem> next = context.queue().poll(planner, now);
        while (next.isPresent()) {
            start(next.get());
            next = context.queue().poll(planner, context.loop().now());
        }
        if (context.queue().size() > 0) {
            if (!context.knownPrimary().isUsable(now)) {
                refreshRecord.run();
            }
            if (!timerSet) {
                timerSet = true;
                context.loop().scheduleAt(now.plus(DISPATCH_INTERVAL), () -> {
                    timerSet = false;
                    dispatch();
                });
            }
        }
    }

    private void start(WorkItem item) {
        StartPlanner.Plan plan = planner.takePlan(item);
        Optional<PendingWork> pending = context.removePending(item.id());
        if (pending.isEmpty()) {
            return;
        }
        if (plan.rejection().isPresent()) {
            boolean isWriteLost = plan.rejection().get().kind() == ErrorKind.SESSION_WRITE_LOST;
            Optional<LogPoint> point = isWriteLost ? Optional.of(newestSurvivingPoint()) : Optional.empty();
            pending.get().fail(new WorkFailure(plan.rejection().get(), point));
            return;
        }
        context.usage().recordStart(plan.estimate());
        starter.accept(pending.get(), plan.target().orElseThrow());
    }

    /**
     * Returns the newest log point that is known to survive the failover: the point of the primary, or the start of its
     * term if the primary has not reported a point in that term yet.
     */
    private LogPoint newestSurvivingPoint() {
        KnownPrimary knownPrimary = context.knownPrimary();
        long termStart = knownPrimary.termStarts().isEmpty()
                ? 0
                : knownPrimary
                        .termStarts()
                        .get(knownPrimary.termStarts().size() - 1)
                        .position();
        return knownPrimary
                .primary()
                .flatMap(context::target)
                .flatMap(target -> target.connections().lastStatus())
                .map(EndpointStatus::point)
                .filter(point -> point.term().equals(knownPrimary.term()))
                .orElse(new LogPoint(knownPrimary.term(), termStart));
    }

    private void rejectItems(List<RejectedItem> rejectedItems) {
        for (RejectedItem rejected : rejectedItems) {
            context.removePending(rejected.item().id()).ifPresent(pending -> pending.reject(rejected.failure()));
        }
    }
}
