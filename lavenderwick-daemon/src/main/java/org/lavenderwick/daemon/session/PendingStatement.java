package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.catalog.DatabaseRoute;
import org.lavenderwick.core.failover.ProvenPrimary;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.ratelimit.Permit;
import org.lavenderwick.core.statement.PreparedStatement;
import org.lavenderwick.core.statement.Statement;
import org.lavenderwick.core.statement.StatementKind;

/** A statement of a session that waits for an endpoint or runs on one. Confined to the traffic thread. */
final class PendingStatement {

    /** The relation of a statement to transactions. */
    enum Scope {
        /** The statement is not part of a transaction. */
        SINGLE,
        /** The statement is part of a transaction. */
        TRANSACTION
    }

    private final CallerSession session;
    private final String id;
    private final Statement statement;
    private final Optional<PreparedStatement> prepared;
    private final DatabaseRoute route;
    private final Scope scope;
    private final boolean mayWrite;
    private final boolean needsPrimary;
    private final Duration arrivedAt;
    private final Duration deadline;
    private final Optional<LogPoint> sessionPoint;
    private final Set<EndpointName> excludedEndpoints = new HashSet<>();
    private Duration deferredUntil;
    private Duration sentAt;
    private int sendCount;
    private Optional<ProvenPrimary> primaryWhenSent = Optional.empty();
    private Optional<Permit> permit = Optional.empty();
    private boolean abandoned;
    private boolean missedConnection;

    /**
     * Creates a statement that has not been sent yet.
     *
     * @param mayWrite whether the statement, or the transaction that it is part of, may write
     * @param needsPrimary whether only the primary may run it
     * @param arrivedAt when the statement arrived, on the monotonic clock
     * @param sessionPoint log position of the latest commit of the session, which a replica must have reached; empty if
     *     the read consistency does not require it
     */
    PendingStatement(
            CallerSession session,
            String id,
            Statement statement,
            Optional<PreparedStatement> prepared,
            DatabaseRoute route,
            Scope scope,
            boolean mayWrite,
            boolean needsPrimary,
            Duration arrivedAt,
            Optional<LogPoint> sessionPoint) {
        this.session = session;
        this.id = id;
        this.statement = statement;
        this.prepared = prepared;
        this.route = route;
        this.scope = scope;
        this.mayWrite = mayWrite;
        this.needsPrimary = needsPrimary;
        this.arrivedAt = arrivedAt;
        this.deadline = arrivedAt.plus(route.statementTimeout());
        this.sessionPoint = sessionPoint;
        this.deferredUntil = arrivedAt;
    }

    CallerSession session() {
        return session;
    }

    /** Returns the client account that the statement runs for; empty if the session has none. */
    Optional<AccountName> account() {
        return session.account();
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
        return mayWrite;
    }

    /** Returns whether the success of this statement may commit writes. */
    boolean commitsWrites() {
        return mayWrite && (scope == Scope.SINGLE || isCommit());
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

    /** Returns the time at which the statement exceeds its latency target. */
    Duration dueAt() {
        return arrivedAt.plus(route.latencyTarget());
    }

    /** Returns the log position of the session that a replica must have reached. */
    Optional<LogPoint> sessionPoint() {
        return sessionPoint;
    }

    /**
     * Returns the endpoints that must not serve this statement as replicas, because they were behind or failed to run
     * it. Callers may add to the set.
     */
    Set<EndpointName> excludedEndpoints() {
        return excludedEndpoints;
    }

    /** Returns the time before which the statement must not be sent. */
    Duration deferredUntil() {
        return deferredUntil;
    }

    void deferUntil(Duration time) {
        deferredUntil = time;
    }

    /** Returns when the statement was last sent; null before that. */
    Duration sentAt() {
        return sentAt;
    }

    void recordSend(Duration time) {
        sentAt = time;
        sendCount++;
    }

    /** Returns the primary that was proven when the statement was passed to a connection; empty if none was. */
    Optional<ProvenPrimary> primaryWhenSent() {
        return primaryWhenSent;
    }

    void recordPrimaryWhenSent(Optional<ProvenPrimary> primary) {
        primaryWhenSent = primary;
    }

    void recordPermit(Permit used) {
        permit = Optional.of(used);
    }

    /** Returns the permit that was used for the operation, once; empty if there is none or it was taken before. */
    Optional<Permit> takePermit() {
        Optional<Permit> taken = permit;
        permit = Optional.empty();
        return taken;
    }

    /** Returns how often the statement was sent to an endpoint, not counting setup steps and BEGIN. */
    int sendCount() {
        return sendCount;
    }

    /** Returns whether the statement has found no idle connection of its account before. */
    boolean hasMissedConnection() {
        return missedConnection;
    }

    void recordMissedConnection() {
        missedConnection = true;
    }

    /** Returns whether the session no longer waits for the response. */
    boolean isAbandoned() {
        return abandoned;
    }

    void abandon() {
        abandoned = true;
    }
}
