package org.lavenderwick.core.billing;

import java.time.Duration;

import org.lavenderwick.core.model.RankName;

/**
 * Work for which the spending policy is asked.
 *
 * @param rank rank of the work
 * @param statements number of statements it sends
 * @param timeUntilDue time until it is due; negative if it is late
 * @param expectedWait how long it would wait with the connections in use, as the queue estimates
 * @param expectedService how long it takes once started
 */
public record WorkEstimate(
        RankName rank, int statements, Duration timeUntilDue, Duration expectedWait, Duration expectedService) {

    /** Returns how much longer the work can wait and still be answered when due; negative if it cannot. */
    public Duration spareTime() {
        return timeUntilDue.minus(expectedWait).minus(expectedService);
    }
}
