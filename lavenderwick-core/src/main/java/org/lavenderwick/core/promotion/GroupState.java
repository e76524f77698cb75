package org.lavenderwick.core.promotion;

/** How far the promotion of a database group has come. */
public enum GroupState {
    /** The term is in use. */
    OPEN,
    /** The term is being closed; the platform gives no evidence for it any more. */
    CLOSING,
    /** The record names the candidate of its term, which may or may not know of it yet. */
    PROMOTING
}
