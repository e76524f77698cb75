package org.lavenderwick.core.connections;

import java.time.Duration;

/** The baseline: keeps the whole share open all the time. */
public final class FixedSizing implements PoolSizing {

    private FixedSizing() {}

    /** Returns the sizing. */
    public static FixedSizing create() {
        return new FixedSizing();
    }

    @Override
    public boolean opensAhead() {
        return true;
    }

    @Override
    public boolean closesAfter(Duration idle) {
        return false;
    }
}
