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
 * Runs transactions of several requests. Each one owns a connection from its begin to its commit, rollback, failure or
 * idle bound, so statements of two transactions never meet on one connection. Confined to the event loop of the group.
 */
final class TransactionRunner {
    /** Time without a step after which a transaction is rolled back, since it holds a connection and locks. */
    static final Duration IDLE_BOUND = Duration.ofSeconds(10);

    /** Ended transactions remembered, to tell a transaction that was rolled back from one that never was. */
    private static final int MAX_ENDED = 10_000;

    private static final byte[] NO_RESULTS = {'[', ']'};

    private final GroupContext context;
    private final Consumer<PendingWork> requeue;
    private final Runnable refreshRecord;
    private final TransactionListener listener;
    private final Map<String, OpenTransaction> open = new HashMap<>();
    private final Cache<String, String> aborted =
            CacheBuilder.newBuilder().maximumSize(MAX_ENDED).build();

    /**
     * Creates a runner.
     *
     * @param context the state of the group
     * @param requeue puts work back into the queue that did not run
     * @param refreshRecord asks for the group record
     * @param listener learns when transactions open and end
     */
    TransactionRunner(
            GroupContext context, Consumer<PendingWork> requeue, Runnable refreshRecord, TransactionListener listener) {
        this.context = context;
        this.requeue = requeue;
        this.refreshRecord = refreshRecord;
        this.listener = listener;
    }

    int openCount() {
        return open.size();
    }

    /** Returns the number of open transactions that hold a connection of the target. */
    int openCountAt(EndpointTarget target) {
        return (int) open.values().stream()
                .filter(transaction -> transaction.target() == target)
                .count();
    }

    /** Begins a transaction on the primary for work that was taken from the queue. */
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
            call(pending, transaction, TransactionStep.BEGIN, answer -> {
                target.onRequestEnded();
                begun(pending, transaction, answer);
            });
        });
    }

    /** Runs a step of an open transaction at once: it holds its connection already. */
    void runStep(PendingWork pending) {
        WorkRequest work = pending.work();
        String id = work.transactionId().orElse("");
        OpenTransaction transaction = open.get(id);
        if (transaction == null) {
            boolean wasAborted = aborted.getIfPresent(id) != null;
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
            stays(transaction);
            pending.fail(WorkFailure.of(
                    ErrorKind.TERM_UNCONFIRMED,
                    "It cannot be shown that the primary was not replaced; the transaction is still open."));
            return;
        }
        context.evidenceRequester().sendDueRequests(transaction.term());
        target.onRequestStarted();
        call(pending, transaction, work.step(), answer -> {
            target.onRequestEnded();
            stepped(pending, transaction, answer);
        });
    }

    /** Rolls all transactions back by closing their connections. */
    void abortAll() {
        List.copyOf(open.values()).forEach(transaction -> {
            transaction.cancelIdleTimeout();
            abort(transaction, ReleaseState.OPEN_TRANSACTION);
        });
    }

    private void call(
            PendingWork pending,
            OpenTransaction transaction,
            TransactionStep step,
            Consumer<Either<Failure, EndpointReply>> consumer) {
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
                        answer -> {
                            if (answer.isRight()) {
                                target.recordResponse(sentAt);
                                target.connections().recordStatus(answer.get().status(), sentAt);
                            } else {
                                target.recordTimeout(sentAt);
                            }
                            consumer.accept(answer);
                        });
    }

    private void begun(PendingWork pending, OpenTransaction transaction, Either<Failure, EndpointReply> answer) {
        EndpointConnectionPool link = transaction.target().connections();
        if (answer.isLeft()) {
            // The endpoint rolls the transaction back when its connection closes, so nothing it did lasts.
            link.release(transaction.connection(), ReleaseState.TIMED_OUT);
            pending.fail(WorkFailure.of(
                    ErrorKind.TRANSACTION_ABORTED, "The endpoint gave no answer; the transaction is rolled back."));
            return;
        }
        EndpointReply reply = answer.get();
        EndpointOutcome outcome = reply.outcome();
        if (outcome == EndpointOutcome.DONE) {
            open.put(transaction.id(), transaction);
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

    private void stepped(PendingWork pending, OpenTransaction transaction, Either<Failure, EndpointReply> answer) {
        TransactionStep step = pending.work().step();
        if (answer.isLeft()) {
            abort(transaction, ReleaseState.TIMED_OUT);
            boolean mayBeCommitted =
                    step == TransactionStep.COMMIT && answer.getLeft().kind().execution() != Execution.NOT_RUN;
            if (mayBeCommitted) {
                pending.fail(WorkFailure.of(ErrorKind.OUTCOME_UNKNOWN, "The endpoint gave no answer to the commit."));
            } else if (step == TransactionStep.ROLLBACK) {
                pending.succeed(answer(NO_RESULTS, transaction, Optional.empty()));
            } else {
                pending.fail(WorkFailure.of(
                        ErrorKind.TRANSACTION_ABORTED, "The endpoint gave no answer; the transaction is rolled back."));
            }
            return;
        }
        EndpointReply reply = answer.get();
        switch (reply.outcome()) {
            case DONE -> {
                if (step == TransactionStep.ROLLBACK) {
                    end(transaction, ReleaseState.CLEAN);
                    pending.succeed(answer(NO_RESULTS, transaction, Optional.of(reply)));
                } else {
                    acknowledge(pending, transaction, reply);
                }
            }
            case STATEMENT_FAILED -> {
                end(transaction, ReleaseState.CLEAN);
                aborted.put(transaction.id(), transaction.id());
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

    /** Answers a step that ran, once it is shown that the primary was not replaced. */
    private void acknowledge(PendingWork pending, OpenTransaction transaction, EndpointReply reply) {
        boolean commit = pending.work().step() == TransactionStep.COMMIT;
        if (commit) {
            end(transaction, ReleaseState.CLEAN);
        }
        Duration until = context.loop().now().plus(PromotionTimings.EVIDENCE_MAX_AGE);
        context.evidenceRequester().awaitEvidence(transaction.term(), until, confirmed -> {
            if (confirmed) {
                if (!commit) {
                    stays(transaction);
                }
                pending.succeed(
                        answer(reply.results().orElse(NO_RESULTS), transaction, Optional.of(reply), pending.work()));
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

    private WorkResponse answer(byte[] results, OpenTransaction transaction, Optional<EndpointReply> reply) {
        return new WorkResponse(
                results,
                reply.map(known -> known.status().point()).orElse(new LogPoint(transaction.term(), 0)),
                transaction.target().name(),
                true,
                false,
                Optional.empty());
    }

    private WorkResponse answer(
            byte[] results, OpenTransaction transaction, Optional<EndpointReply> reply, WorkRequest work) {
        WorkResponse plain = answer(results, transaction, reply);
        return new WorkResponse(
                plain.results(),
                plain.point(),
                plain.endpoint(),
                true,
                work.step() == TransactionStep.COMMIT,
                work.step() == TransactionStep.BEGIN ? Optional.of(transaction.id()) : Optional.empty());
    }

    private void stays(OpenTransaction transaction) {
        if (open.containsKey(transaction.id())) {
            transaction.onStepEnded(
                    context.loop(), IDLE_BOUND, () -> abort(transaction, ReleaseState.OPEN_TRANSACTION));
        }
    }

    private void abort(OpenTransaction transaction, ReleaseState state) {
        if (end(transaction, state)) {
            aborted.put(transaction.id(), transaction.id());
        }
    }

    private boolean end(OpenTransaction transaction, ReleaseState state) {
        if (open.remove(transaction.id()) == null) {
            return false;
        }
        transaction.cancelIdleTimeout();
        transaction.target().connections().release(transaction.connection(), state);
        listener.onEnded();
        return true;
    }
}
