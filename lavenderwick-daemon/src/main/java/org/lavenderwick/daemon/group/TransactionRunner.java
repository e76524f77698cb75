package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;

import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import io.vavr.control.Either;
import org.lavenderwick.adapters.endpoint.EndpointOutcome;
import org.lavenderwick.adapters.endpoint.EndpointReply;
import org.lavenderwick.adapters.endpoint.EndpointRequest;
import org.lavenderwick.adapters.endpoint.TransactionStep;
import org.lavenderwick.core.connections.ReleaseState;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Execution;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;
import org.lavenderwick.core.promotion.PromotionTimings;

/**
 * The runner of transactions that span several requests. Each transaction has exclusive use of a connection from BEGIN
 * until it commits, rolls back, fails or is idle for too long, so statements of different transactions never share a
 * connection. Confined to the event loop of the group.
 */
final class TransactionRunner {
    /** Time without a step after which a transaction is rolled back, because it holds a connection and locks. */
    static final Duration IDLE_TIMEOUT = Duration.ofSeconds(10);

    /** Number of aborted transactions kept to distinguish a rolled-back transaction from an unknown one. */
    private static final int MAX_ABORTED_IDS = 10_000;

    private static final byte[] NO_RESULTS = {'[', ']'};

    private final GroupContext context;
    private final Consumer<PendingWork> requeue;
    private final Runnable refreshRecord;
    private final TransactionListener listener;
    private final Map<String, OpenTransaction> openTransactions = new HashMap<>();
    private final Cache<String, String> abortedIds =
            CacheBuilder.newBuilder().maximumSize(MAX_ABORTED_IDS).build();

    /**
     * Creates a runner.
     *
     * @param context the state of the group
     * @param requeue puts work back into the queue for another attempt
     * @param refreshRecord requests the group record from the platform
     * @param listener is notified when transactions open and end
     */
    TransactionRunner(
            GroupContext context, Consumer<PendingWork> requeue, Runnable refreshRecord, TransactionListener listener) {
        this.context = context;
        this.requeue = requeue;
        this.refreshRecord = refreshRecord;
        this.listener = listener;
    }

    /** Returns the number of open transactions. */
    int openCount() {
        return openTransactions.size();
    }

    /** Returns the number of open transactions that hold a connection to the target. */
    int openCountAt(EndpointTarget target) {
        return (int) openTransactions.values().stream()
                .filter(transaction -> transaction.target() == target)
                .count();
    }

    /** Begins a transaction on the primary for work that has left the queue. */
    void begin(PendingWork pending, EndpointTarget target) {
        Term term = context.knownPrimary().term();
        target.onRequestStarted();
        target.connections().acquire(acquired -> {
            if (acquired.isLeft()) {
                target.onRequestEnded();
                pending.setWaitReason(acquired.getLeft());
                requeue.accept(pending);
                return;
            }
            if (!pending.isBeforeDeadline(context.loop().now())) {
                target.onRequestEnded();
                target.connections().release(acquired.get(), ReleaseState.CLEAN);
                pending.failPastDeadline();
                return;
            }
            OpenTransaction transaction =
                    new OpenTransaction(UUID.randomUUID().toString(), target, acquired.get(), term);
            context.evidenceRequester().sendDueRequests(term);
            call(pending, transaction, TransactionStep.BEGIN, response -> {
                target.onRequestEnded();
                onBeginResponse(pending, transaction, response);
            });
        });
    }

    /** Runs a step of an open transaction without queueing it, because the transaction already has a connection. */
    void runStep(PendingWork pending) {
        WorkRequest work = pending.work();
        String id = work.transactionId().orElse("");
        OpenTransaction transaction = openTransactions.get(id);
        if (transaction == null) {
            boolean wasAborted = abortedIds.getIfPresent(id) != null;
            pending.fail(
                    wasAborted
                            ? WorkFailure.of(ErrorKind.TRANSACTION_ABORTED, "The transaction was rolled back.")
                            : WorkFailure.of(
                                    ErrorKind.UNKNOWN_TRANSACTION, "The transaction has ended or never existed."));
            return;
        }
        if (transaction.isStepRunning()) {
            pending.fail(
                    WorkFailure.of(ErrorKind.MALFORMED_REQUEST, "Another request of the transaction is under way."));
            return;
        }
        transaction.onStepStarted();
        EndpointTarget target = transaction.target();
        if (work.step() == TransactionStep.COMMIT
                && !context.evidenceRequester().maySend(transaction.term())) {
            context.evidenceRequester().sendDueRequests(transaction.term());
            finishStep(transaction);
            pending.fail(WorkFailure.of(
                    ErrorKind.TERM_UNCONFIRMED,
                    "It cannot be shown that the primary was not replaced; the transaction is still open."));
            return;
        }
        context.evidenceRequester().sendDueRequests(transaction.term());
        target.onRequestStarted();
        call(pending, transaction, work.step(), response -> {
            target.onRequestEnded();
            onStepResponse(pending, transaction, response);
        });
    }

    /** Aborts all open transactions by closing their connections, which makes the endpoints roll them back. */
    void abortAll() {
        List.copyOf(openTransactions.values()).forEach(transaction -> {
            transaction.cancelIdleTimeout();
            abort(transaction, ReleaseState.OPEN_TRANSACTION);
        });
    }

    private void call(
            PendingWork pending,
            OpenTransaction transaction,
            TransactionStep step,
            Consumer<Either<Failure, EndpointReply>> onResponse) {
        WorkRequest work = pending.work();
        Duration sentAt = context.loop().now();
        EndpointRequest request = new EndpointRequest(
                pending.nextAttemptId(),
                work.group(),
                true,
                step,
                work.statements(),
                Optional.of(transaction.term()),
                step == TransactionStep.BEGIN ? work.minimumPoint() : Optional.empty(),
                Optional.empty(),
                Optional.empty());
        EndpointTarget target = transaction.target();
        context.loop()
                .deliver(
                        target.connections()
                                .connection(transaction.connection())
                                .execute(request, CallTimeouts.of(work, sentAt, context.callTimeout())),
                        response -> {
                            if (response.isRight()) {
                                target.recordResponse(sentAt);
                                target.connections().recordStatus(response.get().status(), sentAt);
                            } else {
                                target.recordTimeout(sentAt);
                            }
                            onResponse.accept(response);
                        });
    }

    private void onBeginResponse(
            PendingWork pending, OpenTransaction transaction, Either<Failure, EndpointReply> response) {
        EndpointConnectionPool link = transaction.target().connections();
        if (response.isLeft()) {
            // The endpoint rolls the transaction back when the connection closes, so none of its changes persist.
            link.release(transaction.connection(), ReleaseState.TIMED_OUT);
            pending.fail(WorkFailure.of(
                    ErrorKind.TRANSACTION_ABORTED, "The endpoint gave no answer; the transaction is rolled back."));
            return;
        }
        EndpointReply reply = response.get();
        EndpointOutcome outcome = reply.outcome();
        if (outcome == EndpointOutcome.DONE) {
            openTransactions.put(transaction.id(), transaction);
            listener.onOpened();
            transaction.onStepStarted();
            acknowledge(pending, transaction, reply);
            return;
        }
        boolean clean = outcome != EndpointOutcome.WRONG_TRANSACTION_STATE;
        link.release(transaction.connection(), clean ? ReleaseState.CLEAN : ReleaseState.OPEN_TRANSACTION);
        if (outcome == EndpointOutcome.STATEMENT_FAILED) {
            pending.fail(WorkFailure.of(ErrorKind.STATEMENT_FAILED, reply.detail()));
        } else if (outcome == EndpointOutcome.WRITE_LOST) {
            pending.fail(new WorkFailure(
                    Failure.of(ErrorKind.SESSION_WRITE_LOST, "A failover dropped a write of this session."),
                    Optional.of(reply.status().point())));
        } else {
            Duration now = context.loop().now();
            context.knownPrimary().backOff(transaction.term(), now.plus(AutocommitRunner.PRIMARY_BACKOFF));
            pending.setWaitReason(
                    Failure.of(ErrorKind.NO_PRIMARY, "The primary of the database group is being replaced."));
            refreshRecord.run();
            requeue.accept(pending);
        }
    }

    private void onStepResponse(
            PendingWork pending, OpenTransaction transaction, Either<Failure, EndpointReply> response) {
        TransactionStep step = pending.work().step();
        if (response.isLeft()) {
            abort(transaction, ReleaseState.TIMED_OUT);
            boolean mayBeCommitted =
                    step == TransactionStep.COMMIT && response.getLeft().kind().execution() != Execution.NOT_RUN;
            if (mayBeCommitted) {
                pending.fail(WorkFailure.of(ErrorKind.OUTCOME_UNKNOWN, "The endpoint gave no answer to the commit."));
            } else if (step == TransactionStep.ROLLBACK) {
                pending.succeed(newResponse(NO_RESULTS, transaction, Optional.empty()));
            } else {
                pending.fail(WorkFailure.of(
                        ErrorKind.TRANSACTION_ABORTED, "The endpoint gave no answer; the transaction is rolled back."));
            }
            return;
        }
        EndpointReply reply = response.get();
        switch (reply.outcome()) {
            case DONE -> {
                if (step == TransactionStep.ROLLBACK) {
                    end(transaction, ReleaseState.CLEAN);
                    pending.succeed(newResponse(NO_RESULTS, transaction, Optional.of(reply)));
                } else {
                    acknowledge(pending, transaction, reply);
                }
            }
            case STATEMENT_FAILED -> {
                end(transaction, ReleaseState.CLEAN);
                abortedIds.put(transaction.id(), transaction.id());
                pending.fail(WorkFailure.of(ErrorKind.STATEMENT_FAILED, reply.detail()));
            }
            default -> {
                abort(transaction, ReleaseState.OPEN_TRANSACTION);
                pending.fail(WorkFailure.of(
                        ErrorKind.TRANSACTION_ABORTED,
                        "The endpoint refused the step (" + reply.outcome() + "); the transaction is rolled back."));
            }
        }
    }

    /**
     * Completes a step that ran as soon as evidence shows that the primary had not been replaced. Without evidence in
     * time, a commit fails with an unknown outcome and any other step aborts the transaction.
     */
    private void acknowledge(PendingWork pending, OpenTransaction transaction, EndpointReply reply) {
        boolean commit = pending.work().step() == TransactionStep.COMMIT;
        if (commit) {
            end(transaction, ReleaseState.CLEAN);
        }
        Duration evidenceDeadline = context.loop().now().plus(PromotionTimings.EVIDENCE_MAX_AGE);
        context.evidenceRequester().awaitEvidence(transaction.term(), evidenceDeadline, confirmed -> {
            if (confirmed) {
                if (!commit) {
                    finishStep(transaction);
                }
                pending.succeed(newResponse(
                        reply.results().orElse(NO_RESULTS), transaction, Optional.of(reply), pending.work()));
            } else if (commit) {
                pending.fail(WorkFailure.of(
                        ErrorKind.OUTCOME_UNKNOWN,
                        "The commit ran, but it cannot be shown that its primary was not replaced."));
            } else {
                abort(transaction, ReleaseState.OPEN_TRANSACTION);
                pending.fail(WorkFailure.of(
                        ErrorKind.TRANSACTION_ABORTED,
                        "It cannot be shown that the primary was not replaced; the transaction is rolled back."));
            }
        });
    }

    private WorkResponse newResponse(byte[] results, OpenTransaction transaction, Optional<EndpointReply> reply) {
        return new WorkResponse(
                results,
                reply.map(received -> received.status().point()).orElse(new LogPoint(transaction.term(), 0)),
                transaction.target().name(),
                true,
                false,
                Optional.empty());
    }

    private WorkResponse newResponse(
            byte[] results, OpenTransaction transaction, Optional<EndpointReply> reply, WorkRequest work) {
        WorkResponse base = newResponse(results, transaction, reply);
        return new WorkResponse(
                base.results(),
                base.point(),
                base.endpoint(),
                true,
                work.step() == TransactionStep.COMMIT,
                work.step() == TransactionStep.BEGIN ? Optional.of(transaction.id()) : Optional.empty());
    }

    /** Ends a step of a transaction that remains open, and starts its idle timeout. */
    private void finishStep(OpenTransaction transaction) {
        if (openTransactions.containsKey(transaction.id())) {
            transaction.onStepEnded(
                    context.loop(), IDLE_TIMEOUT, () -> abort(transaction, ReleaseState.OPEN_TRANSACTION));
        }
    }

    /** Ends the transaction and remembers that it was rolled back. */
    private void abort(OpenTransaction transaction, ReleaseState state) {
        if (end(transaction, state)) {
            abortedIds.put(transaction.id(), transaction.id());
        }
    }

    /** Removes the transaction and releases its connection; returns false if the transaction had already ended. */
    private boolean end(OpenTransaction transaction, ReleaseState state) {
        if (openTransactions.remove(transaction.id()) == null) {
            return false;
        }
        transaction.cancelIdleTimeout();
        transaction.target().connections().release(transaction.connection(), state);
        listener.onEnded();
        return true;
    }
}
