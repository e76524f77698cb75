package org.lavenderwick.core.failover;

import java.time.Duration;

/** Parameters of the lease of the term record. */
public final class TermLease {

    /** Time to live of the lease. It exceeds short outages of the store, so that the lease is rarely replaced. */
    public static final Duration TIME_TO_LIVE = Duration.ofSeconds(20);

    private TermLease() {}
}
