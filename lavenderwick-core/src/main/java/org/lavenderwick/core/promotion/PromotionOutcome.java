package org.lavenderwick.core.promotion;

/** Result of the run of a coordinator. */
public enum PromotionOutcome {
    /** The coordinator opened a new term. */
    OPENED,
    /** The previous primary is primary of the new term: a switchover was aborted, or it had the most advanced log. */
    REOPENED,
    /** No promotion was needed: another coordinator had completed it, or the target already was the primary. */
    NOT_NEEDED,
    /** Nothing was changed: the request was withdrawn or timed out first, or the group has no record. */
    ABANDONED
}
