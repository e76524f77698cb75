package org.lavenderwick.standins.history;

/**
 * One broken guarantee.
 *
 * @param kind which guarantee
 * @param detail what was seen, for a person to follow up
 */
public record Violation(Kind kind, String detail) {

    /** The guarantees that the checker knows. */
    public enum Kind {
        /** An answer does not belong to its request. */
        WRONG_ANSWER,
        /** A request took effect more than once. */
        DOUBLE_RUN,
        /** A session did not see its own write and was not told that it is lost. */
        STALE_SESSION_READ,
        /** A write was acknowledged after its term had been replaced. */
        LATE_ACKNOWLEDGEMENT,
        /** A request that was refused as not run did run. */
        FALSE_NOT_RUN,
        /** A planned change of primary dropped an acknowledged write. */
        LOST_IN_SWITCHOVER
    }
}
