package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.lavenderwick.core.dispatch.WaitEstimator;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

/**
 * The admission control of a group. It rejects statements on arrival if the queue is too long. Confined to the traffic
 * thread.
 */
final class Admission {

    private final Map<String, WaitEstimator> estimators = new HashMap<>();

    /**
     * Decides whether a new statement is admitted to the queue. Commits are always admitted. While the primary is
     * missing, no statement is rejected for its expected wait.
     *
     * @param concurrencyLimit number of such statements that may run at the same time
     * @return the reason for the rejection; empty if the statement is admitted
     */
    Optional<Failure> check(
            PendingStatement pending, StatementQueue queue, int concurrencyLimit, boolean primaryMissing) {
        if (pending.isTransactional() && pending.isCommit()) {
            return Optional.empty();
        }
        int ahead = queue.countAhead(pending.route().priority(), pending.needsPrimary());
        Duration wait = estimator(pending).expectedWait(ahead, concurrencyLimit);
        if (!primaryMissing && wait.compareTo(pending.route().latencyTarget()) > 0) {
            return Optional.of(
                    Failure.of(ErrorKind.QUEUE_FULL, "the queue is full, retry after " + wait.toMillis() + " ms"));
        }
        return Optional.empty();
    }

    /** Records the time between sending a statement and receiving its response. */
    void recordServiceTime(PendingStatement pending, Duration serviceTime) {
        estimator(pending).recordServiceTime(serviceTime);
    }

    private WaitEstimator estimator(PendingStatement pending) {
        return estimators.computeIfAbsent(pending.route().database(), database -> new WaitEstimator());
    }
}
