package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import org.lavenderwick.core.admission.WorkItem;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Execution;
import org.lavenderwick.core.error.Failure;

/** Work that is not answered yet. Confined to the event loop, but for the future. */
final class PendingWork {
    private final WorkRequest work;
    private final CompletableFuture<Either<WorkFailure, WorkResponse>> result = new CompletableFuture<>();
    private WorkItem item;
    private Optional<Failure> obstacle = Optional.empty();
    private boolean mayHaveRun;
    private int attempts;
    private int behind;

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

    /** Notes why the work does not start; it becomes the answer if the deadline passes first. */
    void setWaitReason(Failure failure) {
        obstacle = Optional.of(failure);
    }

    void clearWaitReason() {
        obstacle = Optional.empty();
    }

    /** Notes that an attempt was sent to which no answer came. */
    void recordMissingResponse() {
        mayHaveRun |= work.write();
    }

    /** Returns an id for the next attempt. */
    String nextAttemptId() {
        attempts++;
        return work.requestId() + "/" + attempts;
    }

    /** Counts an endpoint that was not fresh enough, and returns how many there were. */
    int recordStaleEndpoint() {
        behind++;
        return behind;
    }

    /**
     * Returns whether the deadline has not passed. The smoothed latency is no reason to refuse: after lost answers it
     * is above short deadlines, and as refused work brings no answer, it would stay there.
     */
    boolean isBeforeDeadline(Duration now) {
        return now.compareTo(work.deadline()) < 0;
    }

    /** Fails work that got a connection only after its deadline. */
    void failPastDeadline() {
        fail(WorkFailure.of(ErrorKind.DEADLINE_UNREACHABLE, "The deadline passed before a connection was free."));
    }

    void succeed(WorkResponse answer) {
        result.complete(Either.right(answer));
    }

    /** Fails the work. "Not run" turns into an unknown outcome if an earlier attempt may have run. */
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

    /** Fails work that waited in the queue until it was given up. */
    void reject(Failure failure) {
        boolean deadline = failure.kind() == ErrorKind.DEADLINE_UNREACHABLE;
        fail(WorkFailure.of(deadline ? obstacle.orElse(failure) : failure));
    }
}
