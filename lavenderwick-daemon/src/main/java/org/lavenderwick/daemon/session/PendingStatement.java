package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.lavenderwick.core.catalog.DatabaseRoute;
import org.lavenderwick.core.failover.ProvenPrimary;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.statement.PreparedStatement;
import org.lavenderwick.core.statement.Statement;
import org.lavenderwick.core.statement.StatementKind;

/** One statement on its way to an endpoint. Confined to the traffic thread. */
final class PendingStatement {

    /** How a statement relates to transactions. */
    enum Scope {
        /** Stands alone. */
        SINGLE,
        /** Belongs to a transaction. */
        TRANSACTION
    }

    private final CallerSession session;
    private final String id;
    private final Statement statement;
    private final Optional<PreparedStatement> prepared;
    private final DatabaseRoute route;
    private final Scope scope;
    private final boolean writes;
    private final boolean needsPrimary;
    private final Duration arrivedAt;
    private final Duration deadline;
    private final Optional<LogPoint> after;
    private final Set<EndpointName> behind = new HashSet<>();
    private Duration notBefore;
    private Duration sentAt;
    private int sendings;
    private Optional<ProvenPrimary> sentUnder = Optional.empty();
    private boolean abandoned;

    /**
     * Creates work that has just arrived.
     *
     * @param writes whether the statement, or the transaction that it belongs to, may write
     * @param needsPrimary whether only the primary may run it
     * @param after newest commit of the session, which a replica must hold
     */
    PendingStatement(
            CallerSession session,
            String id,
            Statement statement,
            Optional<PreparedStatement> prepared,
            DatabaseRoute route,
            Scope scope,
            boolean writes,
            boolean needsPrimary,
            Duration arrivedAt,
            Optional<LogPoint> after) {
        this.session = session;
        this.id = id;
        this.statement = statement;
        this.prepared = prepared;
        this.route = route;
        this.scope = scope;
        this.writes = writes;
        this.needsPrimary = needsPrimary;
        this.arrivedAt = arrivedAt;
        this.deadline = arrivedAt.plus(route.statementTimeout());
        this.after = after;
        this.notBefore = arrivedAt;
    }

    CallerSession session() {
        return session;
    }

    String id() {
        return id;
    }

    Statement statement() {
        return statement;
    }

    Optional<PreparedStatement> prepared() {
        return prepared;
    }

    DatabaseRoute route() {
        return route;
    }

    boolean isTransactional() {
        return scope == Scope.TRANSACTION;
    }

    boolean isCommit() {
        return statement.kind() == StatementKind.COMMIT;
    }

    boolean mayWrite() {
        return writes;
    }

    /** Returns whether a success of this statement makes writes durable. */
    boolean commitsWrites() {
        return writes && (scope == Scope.SINGLE || isCommit());
    }

    boolean needsPrimary() {
        return needsPrimary;
    }

    Duration arrivedAt() {
        return arrivedAt;
    }

    Duration deadline() {
        return deadline;
    }

    /** Returns when the latency target of the operation passes, as far as this statement is concerned. */
    Duration dueAt() {
        return arrivedAt.plus(route.latencyTarget());
    }

    Optional<LogPoint> sessionPoint() {
        return after;
    }

    /** Returns the replicas that lacked the position that this work needs. */
    Set<EndpointName> excludedEndpoints() {
        return behind;
    }

    Duration deferredUntil() {
        return notBefore;
    }

    /** Keeps the work in the queue until the given time. */
    void deferUntil(Duration time) {
        notBefore = time;
    }

    Duration sentAt() {
        return sentAt;
    }

    void recordSend(Duration time) {
        sentAt = time;
        sendings++;
    }

    /** Returns the primary that was proven when the statement was handed to a connection. */
    Optional<ProvenPrimary> primaryWhenSent() {
        return sentUnder;
    }

    void recordPrimaryWhenSent(Optional<ProvenPrimary> view) {
        sentUnder = view;
    }

    /** Returns how often the statement itself was sent to an endpoint. */
    int sendCount() {
        return sendings;
    }

    /** Returns whether nobody waits for the answer any more. */
    boolean isAbandoned() {
        return abandoned;
    }

    void abandon() {
        abandoned = true;
    }
}
