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

/** Holds waiting work and starts it when it may start. Confined to the event loop of the group. */
final class WorkQueue {
    /** Pause between two looks while work waits; a few milliseconds decide whether a target is met. */
    private static final Duration LOOK_INTERVAL = Duration.ofMillis(5);

    private final GroupContext context;
    private final StartPlanner planner;
    private final Runnable refreshRecord;
    private final BiConsumer<PendingWork, EndpointTarget> starter;
    private boolean lookPlanned;
    private boolean lookDue;
    private boolean closed;

    /**
     * Creates a queue.
     *
     * @param context the state of the group
     * @param planner decides what may start
     * @param refreshRecord asks for the group record
     * @param starter starts work at a target
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

    /** Refuses all waiting and all further work. */
    void close(Failure reason) {
        closed = true;
        refuse(context.queue().rejectAll(reason));
    }

    /** Adds work, for the first time or because it did not run at an endpoint. */
    void add(PendingWork pending) {
        if (closed) {
            pending.fail(WorkFailure.of(ErrorKind.OWNER_UNREACHABLE, "The daemon does not own the group any more."));
            return;
        }
        long id = pending.item().id();
        context.addPending(id, pending);
        Either<Failure, List<RejectedItem>> offered =
                context.queue().offer(pending.item(), context.loop().now());
        if (offered.isLeft()) {
            context.removePending(id);
            pending.reject(offered.getLeft());
        } else {
            refuse(offered.get());
        }
        scheduleDispatch();
    }

    /** Looks after the present task, once for any number of calls. */
    void scheduleDispatch() {
        if (!lookDue && context.queue().size() > 0) {
            lookDue = true;
            context.loop().execute(() -> {
                lookDue = false;
                look();
            });
        }
    }

    /** Moves the waiting work to a queue for changed ranks. */
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

    /** Starts what may start, gives up what is too late, and comes back while work waits. */
    private void look() {
        Duration now = context.loop().now();
        refuse(context.queue().removeExpired(now));
        Optional<WorkItem> next = context.queue().poll(planner, now);
        while (next.isPresent()) {
            begin(next.get());
            next = context.queue().poll(planner, context.loop().now());
        }
        if (context.queue().size() > 0) {
            if (!context.knownPrimary().isUsable(now)) {
                refreshRecord.run();
            }
            if (!lookPlanned) {
                lookPlanned = true;
                context.loop().scheduleAt(now.plus(LOOK_INTERVAL), () -> {
                    lookPlanned = false;
                    look();
                });
            }
        }
    }

    private void begin(WorkItem item) {
        StartPlanner.Plan plan = planner.takePlan(item);
        Optional<PendingWork> pending = context.removePending(item.id());
        if (pending.isEmpty()) {
            return;
        }
        if (plan.rejection().isPresent()) {
            boolean lost = plan.rejection().get().kind() == ErrorKind.SESSION_WRITE_LOST;
            Optional<LogPoint> point = lost ? Optional.of(newestPoint()) : Optional.empty();
            pending.get().fail(new WorkFailure(plan.rejection().get(), point));
            return;
        }
        context.usage().recordStart(plan.estimate());
        starter.accept(pending.get(), plan.target().orElseThrow());
    }

    /** Returns the newest point that is known to last: that of the primary, else the start of its term. */
    private LogPoint newestPoint() {
        KnownPrimary view = context.knownPrimary();
        long start = view.termStarts().isEmpty()
                ? 0
                : view.termStarts().get(view.termStarts().size() - 1).position();
        return view.primary()
                .flatMap(context::target)
                .flatMap(target -> target.connections().lastStatus())
                .map(EndpointStatus::point)
                .filter(point -> point.term().equals(view.term()))
                .orElse(new LogPoint(view.term(), start));
    }

    private void refuse(List<RejectedItem> refusals) {
        for (RejectedItem refusal : refusals) {
            context.removePending(refusal.item().id()).ifPresent(pending -> pending.reject(refusal.failure()));
        }
    }
}
