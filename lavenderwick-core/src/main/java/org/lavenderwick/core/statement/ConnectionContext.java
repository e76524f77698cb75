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
 * The values and prepared statements that a connection to an endpoint holds. Sessions share connections, so each
 * prepared statement gets one name per connection, whatever the sessions call it. Confined to one thread.
 */
public final class ConnectionContext {

    /** Prepared statements that a connection keeps before it is reset. Bounds the memory of the endpoint. */
    private static final int MAX_PREPARED = 128;

    private final Map<String, String> variables = new HashMap<>();
    private final Map<PreparedStatement, String> prepared = new HashMap<>();
    private int preparedNames;

    private ConnectionContext() {}

    /** Returns the context of a new connection. */
    public static ConnectionContext create() {
        return new ConnectionContext();
    }

    /**
     * Returns the steps after which a statement of the session may run here, and takes them as done. The caller closes
     * the connection if a step fails.
     *
     * @param session the session whose statement runs next
     * @param needed the prepared statement that it executes, if any
     * @param mayReset whether the connection may be cleared, which it may not within a transaction
     */
    public List<SetupStep> switchTo(SessionContext session, Optional<PreparedStatement> needed, boolean mayReset) {
        List<SetupStep> steps = new ArrayList<>();
        boolean foreign =
                !session.variables().keySet().containsAll(variables.keySet()) || prepared.size() >= MAX_PREPARED;
        if (mayReset && foreign) {
            steps.add(new Reset());
            variables.clear();
            prepared.clear();
        }
        session.variables().forEach((name, value) -> {
            if (!value.equals(variables.put(name, value))) {
                steps.add(new SetVariable(name, value));
            }
        });
        needed.filter(statement -> !prepared.containsKey(statement)).ifPresent(statement -> {
            String name = "p" + ++preparedNames;
            prepared.put(statement, name);
            steps.add(new Prepare(name, statement));
        });
        return steps;
    }

    /** Returns the name of a prepared statement on this connection. */
    public Optional<String> nameOf(PreparedStatement statement) {
        return Optional.ofNullable(prepared.get(statement));
    }

    /** Forgets a prepared statement that the endpoint does not know any more. */
    public void remove(PreparedStatement statement) {
        prepared.remove(statement);
    }

    /** Returns whether a statement of the session needs no change of values here. */
    public boolean hasVariablesOf(SessionContext session) {
        return variables.equals(session.variables());
    }
}
