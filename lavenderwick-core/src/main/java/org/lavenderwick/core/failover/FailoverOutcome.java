package org.lavenderwick.core.failover;

/** Where a failover stands. */
public enum FailoverOutcome {
    /** More steps follow. */
    RUNNING,
    /** A primary serves under the recorded term. */
    DONE,
    /** Another daemon has the duty, or the state that called for the failover has passed. */
    NOT_NEEDED,
    /** It was given up; the record shows how far it came. */
    GIVEN_UP
}
