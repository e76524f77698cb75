package org.lavenderwick.core.statement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The values and prepared statements that a session has set up. Confined to one thread. */
public final class SessionContext {

    /** Most values, and most prepared names, of one session. Bounds the memory that one caller can take. */
    public static final int MAX_ENTRIES = 256;

    private final Map<String, String> variables = new HashMap<>();
    private final Map<String, PreparedStatement> prepared = new HashMap<>();

    private SessionContext() {}

    /** Returns the context of a new session. */
    public static SessionContext create() {
        return new SessionContext();
    }

    /** Sets a value; returns false, without effect, if the session holds too many. */
    public boolean setVariable(String name, String value) {
        return putBounded(variables, name, value);
    }

    /** Prepares a statement; returns false, without effect, if the session holds too many. */
    public boolean prepare(String name, PreparedStatement statement) {
        return putBounded(prepared, name, statement);
    }

    /** Forgets a prepared statement, if there is one of that name. */
    public void deallocate(String name) {
        prepared.remove(name);
    }

    /** Returns the prepared statement of a name. */
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
