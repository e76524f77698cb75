package org.lavenderwick.core.statement;

/** A statement that brings a connection to the state that a session expects. */
public sealed interface SetupStep {

    /** Clears all values and prepared statements of the connection. */
    record Reset() implements SetupStep {}

    /** Sets a value. */
    record SetVariable(String name, String value) implements SetupStep {}

    /** Prepares a statement under a name of the connection. */
    record Prepare(String name, PreparedStatement statement) implements SetupStep {}
}
