package org.lavenderwick.core.membership;

/** Answer of the platform to a compare-and-swap. */
public enum WriteOutcome {
    /** The value is in force. */
    WRITTEN,
    /** Another writer was first. */
    CONFLICT,
    /** No answer came; the write may have taken effect. */
    UNKNOWN
}
