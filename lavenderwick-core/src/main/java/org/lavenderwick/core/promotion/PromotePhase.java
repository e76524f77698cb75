package org.lavenderwick.core.promotion;

import java.time.Duration;

/** Step 5 of a promotion: asks the candidate to become primary of the new term, until a time limit is reached. */
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

    /**
     * Returns whether the time limit has passed. The candidate may have become primary nevertheless, so the term must
     * be closed before another candidate is chosen.
     */
    boolean isTimedOut(Duration now) {
        return now.compareTo(deadline) >= 0;
    }

    boolean isDue(Duration now) {
        return now.compareTo(nextCall) >= 0;
    }

    PromotionAction.Promote nextPromote(Duration now) {
        nextCall = now.plus(timings.endpointTimeout());
        TermStart start = record.termStarts().get(record.termStarts().size() - 1);
        return new PromotionAction.Promote(record.primary(), record.term(), start.position(), now);
    }

    Duration nextWake() {
        return nextCall.compareTo(deadline) < 0 ? nextCall : deadline;
    }
}
