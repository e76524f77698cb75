package org.lavenderwick.adapters.session;

/** Why an endpoint did not complete a statement. */
public enum EndpointError {
    /** All slots and the queue are taken; nothing ran. */
    OVERLOADED(false),
    /** The log lacks the position that the statement requires; nothing ran. */
    BEHIND(false),
    /** The endpoint is no primary; nothing ran. */
    NOT_PRIMARY(false),
    /** The connection has no such prepared statement; nothing ran. */
    UNKNOWN_PREPARED(false),
    /** Another endpoint answers at the address; nothing ran. */
    OTHER_ENDPOINT(false),
    /** The endpoint accepts no more connections; nothing ran. */
    TOO_MANY_CONNECTIONS(false),
    /** The statement ran and failed. */
    FAILED(true),
    /** The statement ran and was ended by a time limit of the endpoint. */
    TIMED_OUT(true),
    /** Any other reason; the statement may have run. */
    OTHER(true);

    private final boolean mayHaveRun;

    EndpointError(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Returns whether the statement may have run. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }
}
