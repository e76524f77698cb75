package org.lavenderwick.core.billing;

import java.time.Instant;

/** The baseline: holds nothing back. */
public final class UnlimitedSpending implements SpendingPolicy {

    private UnlimitedSpending() {}

    /** Returns the policy. */
    public static UnlimitedSpending create() {
        return new UnlimitedSpending();
    }

    @Override
    public boolean mayOpenConnection(PaidLevel paid, MinuteUsage current, int open, WorkEstimate demand, Instant now) {
        return true;
    }

    @Override
    public boolean mayStart(PaidLevel paid, MinuteUsage current, WorkEstimate demand, Instant now) {
        return true;
    }

    @Override
    public void recordStarted(WorkEstimate demand, Instant now) {}
}
