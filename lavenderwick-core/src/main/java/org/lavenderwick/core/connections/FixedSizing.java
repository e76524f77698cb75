package org.lavenderwick.core.connections;

import java.time.Duration;

/** A pool sizing that opens the whole share eagerly and never closes it, used as the baseline for comparisons. */
public final class FixedSizing implements PoolSizing {

    private FixedSizing() {}

    /** Creates the sizing. */
    public static FixedSizing create() {
        return new FixedSizing();
    }

    @Override
    public boolean opensEagerly() {
        return true;
    }

    @Override
    public boolean closesAfter(Duration idleTime) {
        return false;
    }
}
