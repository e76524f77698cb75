package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import org.lavenderwick.core.admission.WorkItem;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Execution;
import org.lavenderwick.core.error.Failure;

/** A request that has no response yet. Confined to the event loop of the group, except for the future. */
final class PendingWork {
    private final WorkRequest work;
    private final CompletableFuture<Either<WorkFailure, WorkResponse>> result = new CompletableFuture<>();
    private WorkItem item;
    private Optional<Failure> waitReason = Optional.empty();
    private boolean mayHaveRun;
    private int attempts;
    private int staleEndpoints;

    PendingWork(WorkRequest work) {
        this.work = work;
    }

    WorkRequest work() {
        return work;
    }

    CompletableFuture<Either<WorkFailure, WorkResponse>> result() {
        return result;
    }

    WorkItem item() {
        return item;
    }

    void item(WorkItem newItem) {
        item = newItem;
    }

    /** Sets the reason why the work cannot start yet. The work fails with this reason if its deadline passes. */
    void setWaitReason(Failure failure) {
        waitReason = Optional.of(failure);
    }

    void clearWaitReason() {
        waitReason = Optional.empty();
    }

    /** Records that an attempt was sent and got no response; a write may have run in it. */
    void recordMissingResponse() {
        mayHaveRun |= work.write();
    }

    /** Returns a new id for the next attempt. */
    String nextAttemptId() {
        attempts++;
        return work.requestId() + "/" + attempts;
    }

    /** Records an attempt at an endpoint that was not fresh enough; returns the number of such attempts. */
    int recordStaleEndpoint() {
        staleEndpoints++;
        return staleEndpoints;
    }

    /**
     * Returns whether the deadline has not passed yet. The smoothed latency is ignored on purpose: lost responses can
     * raise it above short deadlines, and it could not recover because rejected work yields no new measurements.
     */
    boolean isBeforeDeadline(Duration now) {
        return now.compareTo(work.deadline()) < 0;
    }

    /** Fails work whose deadline passed before it got a connection. */
    void failPastDeadline() {
        fail(WorkFailure.of(ErrorKind.DEADLINE_UNREACHABLE, "The deadline passed before a connection was free."));
    }

    void succeed(WorkResponse response) {
        result.complete(Either.right(response));
    }

    /**
     * Fails the work. If an earlier attempt may have run, a failure that says "not run" is replaced by an unknown
     * outcome.
     */
    void fail(WorkFailure failure) {
        boolean saysNotRun = failure.failure().kind().execution() == Execution.NOT_RUN;
        if (mayHaveRun && saysNotRun) {
            result.complete(Either.left(WorkFailure.of(
                    ErrorKind.OUTCOME_UNKNOWN,
                    "An attempt got no answer; a later one ended with: "
                            + failure.failure().detail())));
        } else {
            result.complete(Either.left(failure));
        }
    }

    /** Fails work that the admission queue rejected, with the wait reason if the deadline was the cause. */
    void reject(Failure failure) {
        boolean deadlinePassed = failure.kind() == ErrorKind.DEADLINE_UNREACHABLE;
        fail(WorkFailure.of(deadlinePassed ? waitReason.orElse(failure) : failure));
    }
}
