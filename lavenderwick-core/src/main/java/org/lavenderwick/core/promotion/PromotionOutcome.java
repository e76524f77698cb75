package org.lavenderwick.core.promotion;

/** How the work of a coordinator ended. */
public enum PromotionOutcome {
    /** A new term is open that this coordinator opened. */
    OPENED,
    /** The former primary is primary of a new term: a switchover was aborted, or its log was the furthest. */
    REOPENED,
    /** Nothing was to do: another coordinator did it, or the target is the primary already. */
    NOT_NEEDED,
    /** Nothing was changed, because the request was withdrawn or could not be begun in time. */
    ABANDONED
}
