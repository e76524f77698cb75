package org.lavenderwick.core.admission;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/** A concurrency limit that ignores the measured latency, used as the baseline for comparisons. */
public final class FixedLimit implements ConcurrencyLimit {

    private final int configured;
    private int maximum;

    private FixedLimit(int configured, int maximum) {
        this.configured = configured;
        this.maximum = maximum;
    }

    /**
     * Creates a limit that equals the lower of its two parameters.
     *
     * @param configured configured limit, at least 1
     * @param maximum initial upper bound, which {@link #setMaximum} changes
     */
    public static FixedLimit of(int configured, int maximum) {
        checkArgument(configured >= 1, "limit must be at least 1: %s", configured);
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
