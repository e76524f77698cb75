package org.lavenderwick.core.admission;

import java.time.Duration;

import org.lavenderwick.core.configuration.RankSettings;
import org.lavenderwick.core.model.RankName;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A request that waits for its turn. All times are of the daemon's monotonic clock.
 *
 * @param id identifies the item within its queue
 * @param rank rank of the work
 * @param access which endpoints may run it
 * @param statements number of statements it sends, at least 1
 * @param arrival time at which it arrived
 * @param due time by which it should be answered to meet the target of its rank; never after the deadline
 * @param deadline time after which nobody waits for its answer
 */
public record WorkItem(
        long id, RankName rank, Access access, int statements, Duration arrival, Duration due, Duration deadline) {

    /** Checks the ranges. */
    public WorkItem {
        checkArgument(statements >= 1, "work item %s has no statement", id);
        checkArgument(due.compareTo(deadline) <= 0, "work item %s is due after its deadline", id);
    }

    /** Returns an item that is due at the target of its rank, or at the deadline if that is earlier. */
    public static WorkItem of(
            long id, RankSettings rank, Access access, int statements, Duration arrival, Duration deadline) {
        Duration target = arrival.plus(rank.target());
        Duration due = target.compareTo(deadline) < 0 ? target : deadline;
        return new WorkItem(id, rank.name(), access, statements, arrival, due, deadline);
    }
}
