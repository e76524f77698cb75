package org.lavenderwick.adapters.session;

import org.lavenderwick.core.statement.Statement;

/** A message of a caller. */
public sealed interface CallerMessage {

    /** Opens the session on a database. */
    record Connect(String database) implements CallerMessage {}

    /** Asks for one statement. */
    record Query(String id, Statement statement) implements CallerMessage {}

    /** A statement that cannot be parsed. */
    record BadQuery(String reason) implements CallerMessage {}

    /** Ends the session. */
    record Quit() implements CallerMessage {}
}
