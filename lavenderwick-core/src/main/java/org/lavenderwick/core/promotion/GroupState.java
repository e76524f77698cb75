package org.lavenderwick.core.promotion;

/** The state of the current term of a database group. */
public enum GroupState {
    /** The term is in use; no promotion is in progress. */
    OPEN,
    /** The term is being closed; reading the group record no longer gives evidence for it. */
    CLOSING,
    /** A candidate has been chosen as primary of the term, but is not yet known to serve it. */
    PROMOTING
}
