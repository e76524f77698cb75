package org.lavenderwick.core.failover;

/** The response of the platform to a promotion request. */
public enum PromotionAnswer {
    /** The request is accepted, or the endpoint is already the primary. */
    ACCEPTED,
    /** The request is refused: another daemon has acquired the failover lock, or the endpoint is not running. */
    REFUSED,
    /** The platform has too many requests; this one has no effect. */
    BUSY
}
