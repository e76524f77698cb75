package org.lavenderwick.core.promotion;

import java.time.Duration;

/** Step 5 of a promotion: makes the candidate primary of its term, for a limited time. */
final class PromotePhase {

    private final GroupRecord record;
    private final PromotionTimings timings;
    private final Duration deadline;
    private Duration nextCall;

    PromotePhase(GroupRecord record, PromotionTimings timings, Duration now) {
        this.record = record;
        this.timings = timings;
        this.deadline = now.plus(timings.promoteLimit());
        this.nextCall = now;
    }

    /** Returns whether the candidate had its time. It may have taken the term, so the term must be closed. */
    boolean isOver(Duration now) {
        return now.compareTo(deadline) >= 0;
    }

    boolean isDue(Duration now) {
        return now.compareTo(nextCall) >= 0;
    }

    PromotionAction.Promote call(Duration now) {
        nextCall = now.plus(timings.endpointTimeout());
        TermStart start = record.termStarts().get(record.termStarts().size() - 1);
        return new PromotionAction.Promote(record.primary(), record.term(), start.position(), now);
    }

    Duration nextWake() {
        return nextCall.compareTo(deadline) < 0 ? nextCall : deadline;
    }
}
