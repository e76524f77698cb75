package org.lavenderwick.adapters.session;

import org.lavenderwick.core.statement.Statement;

/** A message of a caller. */
public sealed interface CallerMessage {

    /**
     * Opens the session on a database.
     *
     * @param credential the caller's key where the configuration names client accounts, any word elsewhere; secret
     */
    record Connect(String database, String credential) implements CallerMessage {

        /** Leaves out the credential, so that a log line with this message does not reveal it. */
        @Override
        public String toString() {
            return "Connect[" + database + "]";
        }
    }

    /** Asks for one statement. */
    record Query(String id, Statement statement) implements CallerMessage {}

    /** A statement that cannot be parsed. */
    record BadQuery(String reason) implements CallerMessage {}

    /** Ends the session. */
    record Quit() implements CallerMessage {}
}
