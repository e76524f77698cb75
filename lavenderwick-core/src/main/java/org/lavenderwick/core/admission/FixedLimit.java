package org.lavenderwick.core.admission;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/** The baseline: a limit that does not follow the latency. */
public final class FixedLimit implements ConcurrencyLimit {

    private final int configured;
    private int maximum;

    private FixedLimit(int configured, int maximum) {
        this.configured = configured;
        this.maximum = maximum;
    }

    /** Returns a limit of the configured value, or of the maximum if that is lower. */
    public static FixedLimit of(int configured, int maximum) {
        checkArgument(configured >= 1, "limit is below 1: %s", configured);
        return new FixedLimit(configured, Math.max(1, maximum));
    }

    @Override
    public int limit() {
        return Math.min(configured, maximum);
    }

    @Override
    public void recordResponse(Duration latency, int inFlight) {}

    @Override
    public void recordTimeout() {}

    @Override
    public void setMaximum(int newMaximum) {
        maximum = Math.max(1, newMaximum);
    }
}
