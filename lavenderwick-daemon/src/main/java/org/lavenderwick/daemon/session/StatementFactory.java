package org.lavenderwick.daemon.session;

import java.util.Optional;

import org.lavenderwick.core.admission.Access;
import org.lavenderwick.core.catalog.DatabaseRoute;
import org.lavenderwick.core.catalog.ReadConsistency;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.statement.PreparedStatement;
import org.lavenderwick.core.statement.Statement;
import org.lavenderwick.core.statement.StatementKind;

/**
 * Creates the statements of a session that run at an endpoint, and keeps the position of its latest commit, which its
 * reads may require. Confined to the traffic thread.
 */
final class StatementFactory {

    private final CallerSession session;
    private final EventLoop loop;
    private Optional<LogPoint> latestCommit = Optional.empty();

    StatementFactory(CallerSession session, EventLoop loop) {
        this.session = session;
        this.loop = loop;
    }

    /** Records the position of a commit of the session. */
    void recordCommit(LogPoint point) {
        latestCommit = Optional.of(
                latestCommit.map(latest -> LogPoint.max(latest, point)).orElse(point));
    }

    /** Returns a statement outside of a transaction. */
    PendingStatement single(String id, Statement statement, Optional<PreparedStatement> prepared, DatabaseRoute route) {
        boolean writes = statement.kind() == StatementKind.WRITE
                || prepared.filter(known -> known.access() == Access.WRITE).isPresent();
        return create(id, statement, prepared, route, PendingStatement.Scope.SINGLE, writes);
    }

    /** Returns a statement of the open transaction. */
    PendingStatement transactional(
            String id,
            Statement statement,
            Optional<PreparedStatement> prepared,
            DatabaseRoute route,
            boolean readOnly) {
        return create(id, statement, prepared, route, PendingStatement.Scope.TRANSACTION, !readOnly);
    }

    private PendingStatement create(
            String id,
            Statement statement,
            Optional<PreparedStatement> prepared,
            DatabaseRoute route,
            PendingStatement.Scope scope,
            boolean writes) {
        boolean primary = writes || route.consistency() == ReadConsistency.PRIMARY;
        return new PendingStatement(
                session, id, statement, prepared, route, scope, writes, primary, loop.now(), requiredPoint(route));
    }

    private Optional<LogPoint> requiredPoint(DatabaseRoute route) {
        return route.consistency() == ReadConsistency.READ_YOUR_WRITES ? latestCommit : Optional.empty();
    }
}
