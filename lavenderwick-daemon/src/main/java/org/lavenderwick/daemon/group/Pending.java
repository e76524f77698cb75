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
final class Pending {
    private final Work work;
    private final CompletableFuture<Either<WorkFailure, WorkAnswer>> result = new CompletableFuture<>();
    private WorkItem item;
    private Optional<Failure> obstacle = Optional.empty();
    private boolean mayHaveRun;
    private int attempts;
    private int behind;

    Pending(Work work) {
        this.work = work;
    }

    Work work() {
        return work;
    }

    CompletableFuture<Either<WorkFailure, WorkAnswer>> result() {
        return result;
    }

    WorkItem item() {
        return item;
    }

    void item(WorkItem newItem) {
        item = newItem;
    }

    /** Notes why the work does not start; it becomes the answer if the deadline passes first. */
    void obstacle(Failure failure) {
        obstacle = Optional.of(failure);
    }

    void noObstacle() {
        obstacle = Optional.empty();
    }

    /** Notes that an attempt was sent to which no answer came. */
    void sentWithoutAnswer() {
        mayHaveRun |= work.write();
    }

    /** Returns an id for the next attempt. */
    String nextAttemptId() {
        attempts++;
        return work.requestId() + "/" + attempts;
    }

    /** Counts an endpoint that was not fresh enough, and returns how many there were. */
    int foundBehind() {
        behind++;
        return behind;
    }

    /**
     * Returns whether the deadline has not passed. The smoothed latency is no reason to refuse: after lost answers it
     * is above short deadlines, and as refused work brings no answer, it would stay there.
     */
    boolean inTime(Duration now) {
        return now.compareTo(work.deadline()) < 0;
    }

    /** Fails work that got a connection only after its deadline. */
    void failLate() {
        fail(WorkFailure.of(ErrorKind.DEADLINE_UNREACHABLE, "The deadline passed before a connection was free."));
    }

    void answer(WorkAnswer answer) {
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
    void giveUp(Failure failure) {
        boolean deadline = failure.kind() == ErrorKind.DEADLINE_UNREACHABLE;
        fail(WorkFailure.of(deadline ? obstacle.orElse(failure) : failure));
    }
}
