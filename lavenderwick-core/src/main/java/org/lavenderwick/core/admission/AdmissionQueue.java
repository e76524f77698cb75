package org.lavenderwick.core.admission;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.RankName;

/**
 * A queue of the work items that wait to run on one database group. Each item accepted by {@link #offer} leaves the
 * queue exactly once: through {@link #poll}, {@link #removeExpired}, {@link #cancel} or {@link #rejectAll}, or when a
 * later {@code offer} displaces it.
 *
 * <p>Not thread-safe. All times are readings of the same monotonic clock and must not decrease
 * from call to call.
 */
public interface AdmissionQueue {

    /**
     * Adds an item, or rejects it with {@code QUEUE_FULL}, {@code DEADLINE_UNREACHABLE} or {@code UNKNOWN_RANK}.
     *
     * @return the failure if the item was rejected; otherwise the queued items that were displaced to make room for it,
     *     usually none
     * @throws IllegalArgumentException if an item with the same id is queued
     */
    Either<Failure, List<RejectedItem>> offer(WorkItem item, Duration now);

    /**
     * Removes and returns the next item that {@code rule} allows to start, or empty if there is none. Never returns an
     * item whose deadline has passed.
     */
    Optional<WorkItem> poll(StartRule rule, Duration now);

    /**
     * Records that an item returned by {@link #poll} received its response. The queue uses the service times to
     * estimate waits.
     *
     * @param started time at which the item started to run
     */
    void recordCompletion(WorkItem item, Duration started, Duration now);

    /** Removes the items whose deadline has passed and returns them. */
    List<RejectedItem> removeExpired(Duration now);

    /** Removes a queued item without a response, as when its client has disconnected. Returns whether it was queued. */
    boolean cancel(long id);

    /**
     * Removes all items and returns each as rejected with {@code failure}. Called, for example, when the daemon no
     * longer owns the group.
     */
    List<RejectedItem> rejectAll(Failure failure);

    /**
     * Returns the earliest deadline of a queued item, at which {@link #removeExpired} should be called next; empty if
     * nothing is queued.
     */
    Optional<Duration> nextDeadline();

    /** Returns the estimated wait of a new item of the given rank and access; zero if no estimate is available. */
    Duration expectedWait(RankName rank, Access access);

    /** Returns the number of queued items. */
    int size();

    /** Returns the number of queued items of a rank; 0 for an unknown rank. */
    int size(RankName rank);
}
