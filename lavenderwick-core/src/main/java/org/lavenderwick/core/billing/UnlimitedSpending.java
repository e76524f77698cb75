package org.lavenderwick.core.billing;

import java.time.Instant;

/** Policy that never limits spending. Serves as the baseline that other policies are compared with. */
public final class UnlimitedSpending implements SpendingPolicy {

    private UnlimitedSpending() {}

    /** Returns a new instance. */
    public static UnlimitedSpending create() {
        return new UnlimitedSpending();
    }

    @Override
    public boolean mayOpenConnection(PaidLevel paid, MinuteUsage current, int open, WorkEstimate work, Instant now) {
        return true;
    }

    @Override
    public boolean mayStart(PaidLevel paid, MinuteUsage current, WorkEstimate work, Instant now) {
        return true;
    }

    @Override
    public void recordStarted(WorkEstimate work, Instant now) {}
}
