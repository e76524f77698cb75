package org.lavenderwick.core.admission;

import java.time.Duration;

import org.lavenderwick.core.configuration.RankSettings;
import org.lavenderwick.core.model.RankName;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A unit of work in an {@link AdmissionQueue}. All times are readings of the daemon's monotonic clock.
 *
 * @param id identifier of the item, unique within its queue
 * @param rank priority class of the item
 * @param access the data access of the item, which determines the endpoints that may run it
 * @param statements number of statements that the item sends, at least 1
 * @param arrival time at which the item arrived
 * @param due time by which the item should be completed to meet the latency target of its rank; not after the deadline
 * @param deadline time after which the client no longer waits for the response
 */
public record WorkItem(
        long id, RankName rank, Access access, int statements, Duration arrival, Duration due, Duration deadline) {

    /** Checks that there is at least one statement and that the item is due by its deadline. */
    public WorkItem {
        checkArgument(statements >= 1, "work item %s has no statements", id);
        checkArgument(due.compareTo(deadline) <= 0, "work item %s is due after its deadline", id);
    }

    /** Creates an item that is due at the latency target of its rank, or at its deadline if that is earlier. */
    public static WorkItem of(
            long id, RankSettings rank, Access access, int statements, Duration arrival, Duration deadline) {
        Duration target = arrival.plus(rank.target());
        Duration due = target.compareTo(deadline) < 0 ? target : deadline;
        return new WorkItem(id, rank.name(), access, statements, arrival, due, deadline);
    }
}
