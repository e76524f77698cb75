package org.lavenderwick.core.failover;

/** The state of a failover run. */
public enum FailoverOutcome {
    /** The run has further steps to execute. */
    RUNNING,
    /** The new primary leads and its term is open in the term record. */
    DONE,
    /** The run did not acquire the failover lock, or the suspect is no longer the recorded primary. */
    NOT_NEEDED,
    /** The run waited in vain for endpoints, which other daemons may reach. */
    HANDED_OVER,
    /** The run ended without success; the term record holds the progress that it made. */
    GIVEN_UP
}
