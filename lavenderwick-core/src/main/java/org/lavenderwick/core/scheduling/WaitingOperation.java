package org.lavenderwick.core.scheduling;

import java.time.Duration;

/** An operation that waits, with its place in the queues. Heaps drop it lazily once it is in another place. */
final class WaitingOperation {

    private final Operation operation;
    private final double cost;
    private final Duration latestStart;
    private OperationClass place;
    private boolean finished;

    WaitingOperation(Operation operation, SlotTimes slotTimes) {
        this.operation = operation;
        this.cost = slotTimes.mean(operation.database());
        this.latestStart = operation.dueAt().minus(Seconds.toDuration(slotTimes.high(operation.database())));
    }

    Operation operation() {
        return operation;
    }

    /** Returns the expected slot time in seconds when it was queued. */
    double cost() {
        return cost;
    }

    /** Returns the class that it waits in; null while it is deferred. */
    OperationClass place() {
        return place;
    }

    void moveTo(OperationClass newPlace) {
        place = newPlace;
    }

    /** Returns whether it no longer waits. */
    boolean isFinished() {
        return finished;
    }

    void finish() {
        finished = true;
    }

    /** Returns the last time at which it can start and is likely to meet its target. */
    Duration latestStart() {
        return latestStart;
    }
}
