package org.lavenderwick.core.statement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The session variables and prepared statements of a session. Confined to one thread. */
public final class SessionContext {

    /**
     * Maximum number of session variables, and maximum number of prepared statements, of a session. Bounds the memory
     * that a caller can use.
     */
    public static final int MAX_ENTRIES = 256;

    private final Map<String, String> variables = new HashMap<>();
    private final Map<String, PreparedStatement> prepared = new HashMap<>();

    private SessionContext() {}

    /** Returns the context of a new session. */
    public static SessionContext create() {
        return new SessionContext();
    }

    /**
     * Carries out a statement that concerns only the context.
     *
     * @return whether the session had capacity for it; otherwise nothing has changed
     * @throws IllegalArgumentException if the statement does not set a variable, or add or remove a prepared statement
     */
    public boolean apply(Statement statement) {
        return switch (statement.kind()) {
            case SET -> setVariable(statement.name(), statement.operand());
            case PREPARE ->
                prepare(
                        statement.name(),
                        new PreparedStatement(statement.preparedAccess().get(), statement.operand()));
            case DEALLOCATE -> {
                deallocate(statement.name());
                yield true;
            }
            default ->
                throw new IllegalArgumentException("expected a statement of the session, got " + statement.kind());
        };
    }

    /** Sets a session variable and returns true, or returns false if the session has no capacity for another one. */
    public boolean setVariable(String name, String value) {
        return putBounded(variables, name, value);
    }

    /**
     * Adds or replaces a prepared statement and returns true, or returns false if the session has no capacity for
     * another one.
     */
    public boolean prepare(String name, PreparedStatement statement) {
        return putBounded(prepared, name, statement);
    }

    /** Removes the prepared statement with the given name, if there is one. */
    public void deallocate(String name) {
        prepared.remove(name);
    }

    /** Returns the prepared statement that a statement executes; empty if it executes none or there is none. */
    public Optional<PreparedStatement> preparedFor(Statement statement) {
        return statement.kind() == StatementKind.EXECUTE ? prepared(statement.name()) : Optional.empty();
    }

    /** Returns the prepared statement with the given name, if there is one. */
    public Optional<PreparedStatement> prepared(String name) {
        return Optional.ofNullable(prepared.get(name));
    }

    Map<String, String> variables() {
        return variables;
    }

    private static <V> boolean putBounded(Map<String, V> entries, String name, V value) {
        if (entries.size() >= MAX_ENTRIES && !entries.containsKey(name)) {
            return false;
        }
        entries.put(name, value);
        return true;
    }
}
