package org.lavenderwick.daemon.session;

/** What stands of the transaction of a session. */
enum CallerTransaction {
    /** None is open. */
    NONE,
    /** Opened by the caller, not yet at an endpoint. */
    ANNOUNCED,
    /** Open at an endpoint. */
    OPEN,
    /** Rolled back without the caller knowing yet. */
    LOST,
    /** Failed, as the caller knows. */
    FAILED
}
