package org.lavenderwick.core.billing;

import java.time.Duration;

import org.lavenderwick.core.model.RankName;

/**
 * Waiting work, with the estimates that a spending policy needs.
 *
 * @param rank rank of the work
 * @param statements number of statements that the work executes
 * @param timeUntilDue time until the work is due by the target of its rank; negative if it is overdue
 * @param expectedWait estimated queueing time with the current number of connections
 * @param expectedService estimated execution time
 */
public record WorkEstimate(
        RankName rank, int statements, Duration timeUntilDue, Duration expectedWait, Duration expectedService) {

    /**
     * Returns the expected time between the completion of the work and its due time; negative if it will be overdue.
     */
    public Duration spareTime() {
        return timeUntilDue.minus(expectedWait).minus(expectedService);
    }
}
