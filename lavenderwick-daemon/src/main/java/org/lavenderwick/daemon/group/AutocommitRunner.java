package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.lavenderwick.adapters.endpoint.EndpointReply;
import org.lavenderwick.adapters.endpoint.EndpointRequest;
import org.lavenderwick.adapters.endpoint.TransactionStep;
import org.lavenderwick.core.admission.Access;
import org.lavenderwick.core.admission.RetryBudget;
import org.lavenderwick.core.admission.WorkItem;
import org.lavenderwick.core.connections.ReleaseState;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Execution;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;
import org.lavenderwick.core.promotion.PromotionTimings;

/** Runs statements that form a transaction of their own. Confined to the event loop of the group. */
final class AutocommitRunner {
    /** Time for which a primary that refused work as not run gets no more. */
    static final Duration PRIMARY_BACKOFF = Duration.ofMillis(100);

    /** Endpoints that may turn out not to be fresh enough before the read goes to the primary. */
    private static final int MAX_BEHIND = 2;

    /** Pause before a read for which an endpoint was not fresh enough is routed again. */
    private static final Duration BEHIND_PAUSE = Duration.ofMillis(5);

    /** Doublings of that pause: a replaced primary that is cut off may stay behind for longer than the deadline. */
    private static final int MAX_BEHIND_DOUBLINGS = 6;

    private final GroupContext context;
    private final RetryBudget retries;
    private final Consumer<PendingWork> requeue;
    private final Runnable refreshRecord;

    /**
     * Creates a runner.
     *
     * @param context the state of the group
     * @param retries limits attempts after one without an answer
     * @param requeue puts work back into the queue that did not run
     * @param refreshRecord asks for the group record
     */
    AutocommitRunner(GroupContext context, RetryBudget retries, Consumer<PendingWork> requeue, Runnable refreshRecord) {
        this.context = context;
        this.retries = retries;
        this.requeue = requeue;
        this.refreshRecord = refreshRecord;
    }

    /** One attempt: the work, where it runs, the term that the primary must serve, and when it was started. */
    private record Attempt(PendingWork pending, EndpointTarget target, Optional<Term> term, Duration started) {}

    /** Starts work that was taken from the queue. */
    void start(PendingWork pending, EndpointTarget target) {
        WorkItem item = pending.item();
        Optional<Term> term = item.access() == Access.READ || !needsTerm(pending.work())
                ? Optional.empty()
                : Optional.of(context.knownPrimary().term());
        Attempt attempt = new Attempt(pending, target, term, context.loop().now());
        target.onRequestStarted();
        target.connections().acquire(acquired -> {
            if (acquired.isLeft()) {
                target.onRequestEnded();
                pending.setWaitReason(acquired.getLeft());
                requeue.accept(pending);
            } else {
                send(attempt, acquired.get());
            }
        });
    }

    private static boolean needsTerm(WorkRequest work) {
        return work.write() || work.isLinearizableRead();
    }

    private void send(Attempt attempt, long connection) {
        WorkRequest work = attempt.pending.work();
        Duration sentAt = context.loop().now();
        if (!attempt.pending.isBeforeDeadline(sentAt)) {
            attempt.target.onRequestEnded();
            attempt.target.connections().release(connection, ReleaseState.CLEAN);
            attempt.pending.failPastDeadline();
            return;
        }
        attempt.term.ifPresent(term -> context.evidenceRequester().sendDueRequests(term));
        EndpointRequest request = new EndpointRequest(
                attempt.pending.nextAttemptId(),
                work.group(),
                work.write(),
                TransactionStep.SINGLE,
                work.statements(),
                attempt.term,
                work.minimumPoint(),
                attempt.term.isPresent() ? Optional.empty() : work.maxStaleness(),
                work.idempotencyKey());
        context.loop()
                .deliver(
                        attempt.target
                                .connections()
                                .connection(connection)
                                .execute(request, CallTimeouts.of(work, sentAt, context.callTimeout())),
                        answer -> answered(attempt, connection, sentAt, answer));
    }

    private void answered(Attempt attempt, long connection, Duration sentAt, Either<Failure, EndpointReply> answer) {
        EndpointTarget target = attempt.target;
        if (answer.isLeft()) {
            target.recordTimeout(sentAt);
            target.onRequestEnded();
            target.connections().release(connection, ReleaseState.TIMED_OUT);
            noAnswer(attempt, answer.getLeft());
            return;
        }
        EndpointReply reply = answer.get();
        target.recordResponse(sentAt);
        target.onRequestEnded();
        target.connections().recordStatus(reply.status(), sentAt);
        switch (reply.outcome()) {
            case DONE -> {
                target.connections().release(connection, ReleaseState.CLEAN);
                done(attempt, reply);
            }
            case STATEMENT_FAILED -> {
                target.connections().release(connection, ReleaseState.CLEAN);
                attempt.pending.fail(WorkFailure.of(ErrorKind.STATEMENT_FAILED, reply.detail()));
            }
            case WRONG_TRANSACTION_STATE -> {
                target.connections().release(connection, ReleaseState.OPEN_TRANSACTION);
                requeue.accept(attempt.pending);
            }
            case WRITE_LOST -> {
                target.connections().release(connection, ReleaseState.CLEAN);
                attempt.pending.fail(new WorkFailure(
                        Failure.of(ErrorKind.SESSION_WRITE_LOST, "A failover dropped a write of this session."),
                        Optional.of(reply.status().point())));
            }
            case BEHIND -> {
                target.connections().release(connection, ReleaseState.CLEAN);
                behind(attempt);
            }
            default -> {
                target.connections().release(connection, ReleaseState.CLEAN);
                refusedByPrimary(attempt);
            }
        }
    }

    private void noAnswer(Attempt attempt, Failure failure) {
        PendingWork pending = attempt.pending;
        if (failure.kind().execution() == Execution.NOT_RUN) {
            pending.setWaitReason(failure);
            requeue.accept(pending);
            return;
        }
        pending.recordMissingResponse();
        if (!pending.work().isRetryable()) {
            pending.fail(WorkFailure.of(failure));
        } else if (retries.tryAcquireRetry()) {
            requeue.accept(pending);
        } else {
            pending.fail(WorkFailure.of(
                    ErrorKind.RETRY_BUDGET_EXHAUSTED,
                    "The endpoint gave no answer, and too many requests are retried."));
        }
    }

    private void refusedByPrimary(Attempt attempt) {
        Duration now = context.loop().now();
        attempt.term.ifPresent(term -> context.knownPrimary().backOff(term, now.plus(PRIMARY_BACKOFF)));
        attempt.pending.setWaitReason(
                Failure.of(ErrorKind.NO_PRIMARY, "The primary of the database group is being replaced."));
        refreshRecord.run();
        requeue.accept(attempt.pending);
    }

    /** The endpoint's status has told routing how far it is; after a few such answers the primary serves the read. */
    private void behind(Attempt attempt) {
        PendingWork pending = attempt.pending;
        int found = pending.recordStaleEndpoint();
        if (found >= MAX_BEHIND && pending.item().access() == Access.READ) {
            WorkItem item = pending.item();
            pending.item(new WorkItem(
                    item.id(),
                    item.rank(),
                    Access.PRIMARY_READ,
                    item.statements(),
                    item.arrival(),
                    item.due(),
                    item.deadline()));
        }
        pending.setWaitReason(Failure.of(ErrorKind.NO_ELIGIBLE_ENDPOINT, "No endpoint is fresh enough."));
        // Endpoints catch up in their own time, so they are not asked again at once.
        Duration pause = BEHIND_PAUSE.multipliedBy(1L << Math.min(found - 1, MAX_BEHIND_DOUBLINGS));
        context.loop().scheduleAt(context.loop().now().plus(pause), () -> requeue.accept(pending));
    }

    private void done(Attempt attempt, EndpointReply reply) {
        PendingWork pending = attempt.pending;
        WorkRequest work = pending.work();
        context.queue()
                .recordCompletion(
                        pending.item(), attempt.started, context.loop().now());
        LogPoint point = reply.status().point();
        WorkResponse answer = new WorkResponse(
                reply.results().orElse(new byte[] {'[', ']'}),
                point,
                reply.status().endpoint(),
                reply.status().primary(),
                work.write(),
                Optional.empty());
        if (attempt.term.isEmpty()) {
            pending.succeed(answer);
            return;
        }
        Duration until = context.loop().now().plus(PromotionTimings.EVIDENCE_MAX_AGE);
        Duration bound = until.compareTo(work.deadline()) < 0 ? until : work.deadline();
        context.evidenceRequester().awaitEvidence(attempt.term.get(), bound, confirmed -> {
            if (confirmed) {
                pending.succeed(answer);
            } else if (work.write()) {
                pending.fail(WorkFailure.of(
                        ErrorKind.OUTCOME_UNKNOWN,
                        "The write ran, but it cannot be shown that its primary was not replaced."));
            } else {
                pending.fail(WorkFailure.of(
                        ErrorKind.TERM_UNCONFIRMED, "It cannot be shown that the primary was not replaced."));
            }
        });
    }
}
