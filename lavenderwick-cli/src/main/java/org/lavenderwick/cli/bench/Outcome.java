package org.lavenderwick.cli.bench;

import java.time.Duration;

import org.lavenderwick.standins.history.OperationResult;

/**
 * How a logical request ended.
 *
 * @param operation the request
 * @param result what the caller knows in the end
 * @param atPrimary whether the primary served it
 * @param kind kind of the refusal or failure, empty if it was served
 * @param sentAt time at which the answered attempt was sent
 * @param endedAt time of the end
 */
record Outcome(
        Operation operation,
        OperationResult result,
        boolean atPrimary,
        String kind,
        Duration sentAt,
        Duration endedAt) {

    /** Returns the time from the intended start to the end. */
    Duration latency() {
        return endedAt.minus(operation.intendedAt());
    }

    /** Returns whether it was served. */
    boolean served() {
        return result == OperationResult.ACKNOWLEDGED;
    }

    /** Returns whether it was served within the target of its rank. */
    boolean withinTarget() {
        return served() && latency().compareTo(operation.workload().settings().target()) <= 0;
    }
}
