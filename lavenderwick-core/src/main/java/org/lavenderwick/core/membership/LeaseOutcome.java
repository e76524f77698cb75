package org.lavenderwick.core.membership;

/** Answer of the platform to the acquisition or renewal of a lease. */
public enum LeaseOutcome {
    /** The caller holds the lease for a full time to live. */
    GRANTED,
    /** Another process holds the lease, or the lease to renew has lapsed. */
    REFUSED,
    /** No answer came; the call may have taken effect. */
    UNKNOWN
}
