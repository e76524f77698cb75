package org.lavenderwick.core.statement;

/** A statement executed on a connection to establish the state that a session expects. */
public sealed interface SetupStep {

    /** Removes all session variables and prepared statements of the connection. */
    record Reset() implements SetupStep {}

    /** Sets a session variable. */
    record SetVariable(String name, String value) implements SetupStep {}

    /** Prepares a statement under the name that the connection has assigned to it. */
    record Prepare(String name, PreparedStatement statement) implements SetupStep {}
}
