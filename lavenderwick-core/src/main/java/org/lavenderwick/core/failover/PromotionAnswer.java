package org.lavenderwick.core.failover;

/** The answer to a promotion order. */
public enum PromotionAnswer {
    /** The order is accepted, or the endpoint is the primary already. */
    ACCEPTED,
    /** The order is refused; another daemon has the duty or the endpoint is not running. */
    REFUSED,
    /** Too many orders; nothing happened. */
    BUSY
}
