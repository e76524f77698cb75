package org.lavenderwick.core.connections;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/** Opens a connection only when a request waits for one, and closes it after an idle time. */
public final class OnDemandSizing implements PoolSizing {

    private final Duration idleTime;

    private OnDemandSizing(Duration idleTime) {
        this.idleTime = idleTime;
    }

    /** Returns a sizing that closes connections after the given idle time. */
    public static OnDemandSizing of(Duration idleTime) {
        checkArgument(!idleTime.isNegative() && !idleTime.isZero(), "idle time is not positive: %s", idleTime);
        return new OnDemandSizing(idleTime);
    }

    @Override
    public boolean opensAhead() {
        return false;
    }

    @Override
    public boolean closesAfter(Duration idle) {
        return idle.compareTo(idleTime) >= 0;
    }
}
