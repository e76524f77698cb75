package org.lavenderwick.core.membership;

/** The outcome of a compare-and-swap on the platform. */
public enum WriteOutcome {
    /** The value was stored. */
    WRITTEN,
    /** The key no longer has the expected revision; nothing was stored. */
    CONFLICT,
    /** No response arrived; the write may or may not have taken effect. */
    UNKNOWN
}
