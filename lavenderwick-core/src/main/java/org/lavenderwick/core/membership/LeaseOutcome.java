package org.lavenderwick.core.membership;

/** The outcome of a request to the platform to acquire or renew a lease. */
public enum LeaseOutcome {
    /** The caller holds the lease for its full time to live. */
    GRANTED,
    /** Another process holds the lease, or the lease to be renewed has expired. */
    REFUSED,
    /** No response arrived; the request may or may not have taken effect. */
    UNKNOWN
}
