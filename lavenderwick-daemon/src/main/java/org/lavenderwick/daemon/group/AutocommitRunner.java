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

/** The runner of requests that form a transaction of their own. Confined to the event loop of the group. */
final class AutocommitRunner {
    /** Time for which no more work is sent to a primary that has rejected work without running it. */
    static final Duration PRIMARY_BACKOFF = Duration.ofMillis(100);

    /** Number of attempts at endpoints that are not fresh enough after which a read goes to the primary. */
    private static final int MAX_STALE_ATTEMPTS = 2;

    /** Initial delay before a read is routed again because an endpoint was not fresh enough. */
    private static final Duration STALE_RETRY_DELAY = Duration.ofMillis(5);

    /**
     * Maximum number of doublings of the delay. The delay grows because a replaced primary that is partitioned from its
     * successor may stay behind until after the deadline of the read.
     */
    private static final int MAX_DELAY_DOUBLINGS = 6;

    private final GroupContext context;
    private final RetryBudget retryBudget;
    private final Consumer<PendingWork> requeue;
    private final Runnable refreshRecord;

    /**
     * Creates a runner.
     *
     * @param context the state of the group
     * @param retryBudget limits retries of requests without a response
     * @param requeue puts work back into the queue for another attempt
     * @param refreshRecord requests the group record from the platform
     */
    AutocommitRunner(
            GroupContext context, RetryBudget retryBudget, Consumer<PendingWork> requeue, Runnable refreshRecord) {
        this.context = context;
        this.retryBudget = retryBudget;
        this.requeue = requeue;
        this.refreshRecord = refreshRecord;
    }

    /**
     * One attempt to run a request.
     *
     * @param pending the work
     * @param target the endpoint to which the work is sent
     * @param term the term in which the endpoint must be primary; empty if the request may run at any endpoint
     * @param startedAt monotonic time at which the work left the queue
     */
    private record Attempt(PendingWork pending, EndpointTarget target, Optional<Term> term, Duration startedAt) {}

    /** Starts an attempt for work that has left the queue. */
    void start(PendingWork pending, EndpointTarget target) {
        WorkItem item = pending.item();
        Optional<Term> term = item.access() == Access.READ || !requiresPrimary(pending.work())
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

    private static boolean requiresPrimary(WorkRequest work) {
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
                        response -> onResponse(attempt, connection, sentAt, response));
    }

    private void onResponse(
            Attempt attempt, long connection, Duration sentAt, Either<Failure, EndpointReply> response) {
        EndpointTarget target = attempt.target;
        if (response.isLeft()) {
            target.recordTimeout(sentAt);
            target.onRequestEnded();
            target.connections().release(connection, ReleaseState.TIMED_OUT);
            onNoResponse(attempt, response.getLeft());
            return;
        }
        EndpointReply reply = response.get();
        target.recordResponse(sentAt);
        target.onRequestEnded();
        target.connections().recordStatus(reply.status(), sentAt);
        switch (reply.outcome()) {
            case DONE -> {
                target.connections().release(connection, ReleaseState.CLEAN);
                onCompleted(attempt, reply);
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
                onStaleEndpoint(attempt);
            }
            default -> {
                target.connections().release(connection, ReleaseState.CLEAN);
                onRejectedByPrimary(attempt);
            }
        }
    }

    private void onNoResponse(Attempt attempt, Failure failure) {
        PendingWork pending = attempt.pending;
        if (failure.kind().execution() == Execution.NOT_RUN) {
            pending.setWaitReason(failure);
            requeue.accept(pending);
            return;
        }
        pending.recordMissingResponse();
        if (!pending.work().isRetryable()) {
            pending.fail(WorkFailure.of(failure));
        } else if (retryBudget.tryAcquireRetry()) {
            requeue.accept(pending);
        } else {
            pending.fail(WorkFailure.of(
                    ErrorKind.RETRY_BUDGET_EXHAUSTED,
                    "The endpoint gave no answer, and too many requests are retried."));
        }
    }

    private void onRejectedByPrimary(Attempt attempt) {
        Duration now = context.loop().now();
        attempt.term.ifPresent(term -> context.knownPrimary().backOff(term, now.plus(PRIMARY_BACKOFF)));
        attempt.pending.setWaitReason(
                Failure.of(ErrorKind.NO_PRIMARY, "The primary of the database group is being replaced."));
        refreshRecord.run();
        requeue.accept(attempt.pending);
    }

    /**
     * Routes a read again after a delay; after {@link #MAX_STALE_ATTEMPTS} attempts the read goes to the primary. The
     * status in the response has already told the routing how far the endpoint lags behind.
     */
    private void onStaleEndpoint(Attempt attempt) {
        PendingWork pending = attempt.pending;
        int staleEndpoints = pending.recordStaleEndpoint();
        if (staleEndpoints >= MAX_STALE_ATTEMPTS && pending.item().access() == Access.READ) {
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
        // An immediate retry would be likely to find the endpoint still behind.
        Duration delay = STALE_RETRY_DELAY.multipliedBy(1L << Math.min(staleEndpoints - 1, MAX_DELAY_DOUBLINGS));
        context.loop().scheduleAt(context.loop().now().plus(delay), () -> requeue.accept(pending));
    }

    private void onCompleted(Attempt attempt, EndpointReply reply) {
        PendingWork pending = attempt.pending;
        WorkRequest work = pending.work();
        context.queue()
                .recordCompletion(
                        pending.item(), attempt.startedAt, context.loop().now());
        LogPoint point = reply.status().point();
        WorkResponse response = new WorkResponse(
                reply.results().orElse(new byte[] {'[', ']'}),
                point,
                reply.status().endpoint(),
                reply.status().primary(),
                work.write(),
                Optional.empty());
        if (attempt.term.isEmpty()) {
            pending.succeed(response);
            return;
        }
        Duration evidenceLimit = context.loop().now().plus(PromotionTimings.EVIDENCE_MAX_AGE);
        Duration waitUntil = evidenceLimit.compareTo(work.deadline()) < 0 ? evidenceLimit : work.deadline();
        context.evidenceRequester().awaitEvidence(attempt.term.get(), waitUntil, confirmed -> {
            if (confirmed) {
                pending.succeed(response);
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
