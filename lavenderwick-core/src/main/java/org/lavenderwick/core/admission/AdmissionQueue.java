package org.lavenderwick.core.admission;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.RankName;

/**
 * The work that waits for one database group. An item is in the queue from a successful {@link #offer} until one of
 * {@link #poll}, {@link #removeExpired}, {@link #cancel} or a displacement removes it; exactly one of them does.
 *
 * <p>Confined to one thread. Times are of one monotonic clock and never go back between calls.
 */
public interface AdmissionQueue {

    /**
     * Adds an item, or refuses it with {@code QUEUE_FULL}, {@code DEADLINE_UNREACHABLE} or {@code UNKNOWN_RANK}.
     *
     * @return on success the waiting items that were given up to make room, usually none
     * @throws IllegalArgumentException if an item with the same id is waiting
     */
    Either<Failure, List<RejectedItem>> offer(WorkItem item, Duration now);

    /** Removes and returns the item to start next, if one may start now. Never returns an item past its deadline. */
    Optional<WorkItem> poll(StartRule rule, Duration now);

    /** Records that a taken item was answered, so that later estimates know how long work takes. */
    void recordCompletion(WorkItem item, Duration started, Duration now);

    /** Removes the items whose deadline has passed. */
    List<RejectedItem> removeExpired(Duration now);

    /** Removes a waiting item without an answer, as its caller left. Returns whether it was waiting. */
    boolean cancel(long id);

    /** Removes all items, each refused with the given failure, as when the daemon stops owning the group. */
    List<RejectedItem> rejectAll(Failure failure);

    /** Returns the earliest deadline of a waiting item, at which {@link #removeExpired} has work to do. */
    Optional<Duration> nextDeadline();

    /** Returns how long an item of the rank and access that arrives now would wait, as far as can be told. */
    Duration expectedWait(RankName rank, Access access);

    /** Returns the number of waiting items. */
    int size();

    /** Returns the number of waiting items of a rank; 0 for an unknown rank. */
    int size(RankName rank);
}
