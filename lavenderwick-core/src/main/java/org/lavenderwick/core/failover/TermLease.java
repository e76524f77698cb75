package org.lavenderwick.core.failover;

import java.time.Duration;

/** The lease that stands for the statement that the record of terms is current. */
public final class TermLease {

    /** Time to live of the lease; outlasts short silences of the store, so that it is rarely granted anew. */
    public static final Duration TIME_TO_LIVE = Duration.ofSeconds(20);

    private TermLease() {}
}
