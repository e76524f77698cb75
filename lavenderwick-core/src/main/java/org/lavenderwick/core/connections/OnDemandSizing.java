package org.lavenderwick.core.connections;

import java.time.Duration;

import static com.google.common.base.Preconditions.checkArgument;

/** A pool sizing that opens a connection only when a request needs one and closes it after an idle timeout. */
public final class OnDemandSizing implements PoolSizing {

    private final Duration idleTimeout;

    private OnDemandSizing(Duration idleTimeout) {
        this.idleTimeout = idleTimeout;
    }

    /**
     * Creates a sizing.
     *
     * @param idleTimeout idle time after which a connection is closed, positive
     */
    public static OnDemandSizing of(Duration idleTimeout) {
        checkArgument(
                !idleTimeout.isNegative() && !idleTimeout.isZero(), "idle timeout must be positive: %s", idleTimeout);
        return new OnDemandSizing(idleTimeout);
    }

    @Override
    public boolean opensEagerly() {
        return false;
    }

    @Override
    public boolean closesAfter(Duration idleTime) {
        return idleTime.compareTo(idleTimeout) >= 0;
    }
}
