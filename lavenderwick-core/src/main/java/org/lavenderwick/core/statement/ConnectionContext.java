package org.lavenderwick.core.statement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.lavenderwick.core.statement.SetupStep.Prepare;
import org.lavenderwick.core.statement.SetupStep.Reset;
import org.lavenderwick.core.statement.SetupStep.SetVariable;

/**
 * The session variables and prepared statements that are set up on a connection to an endpoint. Confined to one thread.
 *
 * <p>Sessions share connections and may use different names for the same prepared statement, so the connection assigns
 * its own name to each one.
 */
public final class ConnectionContext {

    /** Number of prepared statements after which a connection is reset; bounds the memory used at the endpoint. */
    private static final int MAX_PREPARED_STATEMENTS = 128;

    private final Map<String, String> variables = new HashMap<>();
    private final Map<PreparedStatement, String> preparedNames = new HashMap<>();
    private int lastPreparedNumber;

    private ConnectionContext() {}

    /** Returns the context of a new connection. */
    public static ConnectionContext create() {
        return new ConnectionContext();
    }

    /**
     * Returns the steps that set up the connection for the next statement of a session, and records them as completed.
     * The caller must execute them in order, and must close the connection if one of them fails.
     *
     * @param session the session whose statement is executed next
     * @param required the prepared statement that the statement executes, if any
     * @param mayReset whether the connection may be reset; must be false within a transaction
     */
    public List<SetupStep> switchTo(SessionContext session, Optional<PreparedStatement> required, boolean mayReset) {
        List<SetupStep> steps = new ArrayList<>();
        boolean needsReset = !session.variables().keySet().containsAll(variables.keySet())
                || preparedNames.size() >= MAX_PREPARED_STATEMENTS;
        if (mayReset && needsReset) {
            steps.add(new Reset());
            variables.clear();
            preparedNames.clear();
        }
        session.variables().forEach((name, value) -> {
            if (!value.equals(variables.put(name, value))) {
                steps.add(new SetVariable(name, value));
            }
        });
        required.filter(statement -> !preparedNames.containsKey(statement)).ifPresent(statement -> {
            String name = "p" + ++lastPreparedNumber;
            preparedNames.put(statement, name);
            steps.add(new Prepare(name, statement));
        });
        return steps;
    }

    /** Returns the name under which a statement is prepared on this connection, or empty if it is not prepared. */
    public Optional<String> nameOf(PreparedStatement statement) {
        return Optional.ofNullable(preparedNames.get(statement));
    }

    /** Removes a prepared statement that no longer exists at the endpoint. */
    public void remove(PreparedStatement statement) {
        preparedNames.remove(statement);
    }

    /** Returns whether the session variables of this connection are exactly those of the session. */
    public boolean hasVariablesOf(SessionContext session) {
        return variables.equals(session.variables());
    }
}
