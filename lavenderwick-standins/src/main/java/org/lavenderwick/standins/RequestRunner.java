package org.lavenderwick.standins;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.lavenderwick.adapters.endpoint.EndpointMessages.ExecuteAnswer;
import org.lavenderwick.adapters.endpoint.EndpointMessages.ExecuteRequest;
import org.lavenderwick.adapters.endpoint.EndpointOutcome;
import org.lavenderwick.adapters.endpoint.TransactionStep;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.standins.Statements.StatementException;
import org.lavenderwick.standins.TransactionTable.Transaction;

/**
 * Runs requests at one endpoint of a group. A request of its own takes effect at one moment; it waits while a
 * transaction holds a row that it wants to change. A transaction locks each row that it reads or changes until it ends.
 * Confined to the lock of the group.
 */
final class RequestRunner {

    private final GroupName group;
    private final InstantSource clock;
    private final Duration clockAllowance;
    private final EndpointHistory history;

    RequestRunner(GroupName group, InstantSource clock, Duration clockAllowance, EndpointHistory history) {
        this.group = group;
        this.clock = clock;
        this.clockAllowance = clockAllowance;
        this.history = history;
    }

    /** A request that waits for its turn. */
    static final class Work {
        private final EndpointSession session;
        private final ExecuteRequest request;
        private boolean begun;

        Work(EndpointSession session, ExecuteRequest request) {
            this.session = session;
            this.request = request;
        }

        EndpointSession session() {
            return session;
        }

        ExecuteRequest request() {
            return request;
        }
    }

    /** Runs the request and returns its answer, or returns empty if it has to wait for a row lock. */
    Optional<ExecuteAnswer> attempt(Replica replica, Work work) {
        ExecuteRequest request = work.request;
        TransactionStep step = request.step();
        boolean opens = step == TransactionStep.SINGLE || step == TransactionStep.BEGIN;
        Optional<ExecuteAnswer> refusal = checkRole(replica, request, opens);
        if (refusal.isEmpty() && (step == TransactionStep.SINGLE || step == TransactionStep.COMMIT)) {
            refusal = recorded(replica, work);
        }
        if (refusal.isEmpty() && opens && !work.begun) {
            refusal = checkFreshness(replica, request);
        }
        if (refusal.isEmpty()) {
            refusal = checkTransaction(replica, work, opens);
        }
        if (refusal.isPresent()) {
            return refusal;
        }
        return step == TransactionStep.SINGLE ? runSingle(replica, work) : runInTransaction(replica, work);
    }

    /** Rolls the transaction of a session back, if it has one. */
    void rollBack(Replica replica, EndpointSession session, String reason) {
        replica.transactions()
                .end(session)
                .ifPresent(ended -> history.record(new HistoryEvent.RolledBack(
                        clock.instant(), group, replica.name(), ended.requestId(), reason)));
    }

    ExecuteAnswer answer(Replica replica, ExecuteRequest request, EndpointOutcome outcome, String detail) {
        return new ExecuteAnswer(
                request.requestId(),
                outcome,
                JsonNodeFactory.instance.arrayNode(),
                detail,
                replica.status(clock.instant()));
    }

    private Optional<ExecuteAnswer> refuse(
            Replica replica, ExecuteRequest request, EndpointOutcome outcome, String detail) {
        return Optional.of(answer(replica, request, outcome, detail));
    }

    private Optional<ExecuteAnswer> checkRole(Replica replica, ExecuteRequest request, boolean opens) {
        if (!request.group().equals(group)) {
            return refuse(replica, request, EndpointOutcome.NOT_PRIMARY, "The endpoint serves another group.");
        }
        if (!request.write() && request.expectedTerm().isEmpty()) {
            return Optional.empty();
        }
        boolean rightTerm = request.expectedTerm()
                .map(term -> term.number() == replica.term())
                .orElse(true);
        if (!replica.primary() || !rightTerm) {
            return refuse(replica, request, EndpointOutcome.NOT_PRIMARY, "Not the primary of the expected term.");
        }
        if (opens && replica.sealed()) {
            return refuse(replica, request, EndpointOutcome.SEALED, "The endpoint has promised a later term.");
        }
        return Optional.empty();
    }

    /** Answers from the record of the idempotency key, if the request has run before. */
    private Optional<ExecuteAnswer> recorded(Replica replica, Work work) {
        ExecuteRequest request = work.request;
        if (!request.write() || !replica.primary()) {
            return Optional.empty();
        }
        Optional<JsonNode> results = request.idempotencyKey().flatMap(replica::recordedResults);
        if (results.isPresent() && request.step() == TransactionStep.COMMIT) {
            rollBack(replica, work.session, "The idempotency key is already recorded.");
        }
        return results.map(found -> done(replica, request, found));
    }

    private Optional<ExecuteAnswer> checkFreshness(Replica replica, ExecuteRequest request) {
        if (request.minimumPoint().isPresent()) {
            LogPoint minimum = request.minimumPoint().get();
            boolean lost = replica.startAfter(minimum.term().number())
                    .map(start -> minimum.position() > start)
                    .orElse(false);
            if (lost) {
                return refuse(replica, request, EndpointOutcome.WRITE_LOST, "A later term dropped the minimum point.");
            }
            if (minimum.term().number() > replica.term() || minimum.position() > replica.position()) {
                return refuse(replica, request, EndpointOutcome.BEHIND, "The log has not reached the minimum point.");
            }
        }
        if (request.maxStalenessMs().isPresent()) {
            Instant now = clock.instant();
            Duration age = Duration.between(replica.pointTime(now), now);
            if (!replica.primary()) {
                age = age.plus(clockAllowance);
            }
            if (age.toMillis() > request.maxStalenessMs().get()) {
                return refuse(replica, request, EndpointOutcome.BEHIND, "The data is too old.");
            }
        }
        return Optional.empty();
    }

    private Optional<ExecuteAnswer> checkTransaction(Replica replica, Work work, boolean opens) {
        boolean open = replica.transactions().of(work.session).isPresent();
        boolean wrong = opens ? open && !work.begun : !open;
        if (wrong || (work.begun && !open) || (work.session.closed() && !opens)) {
            String detail = open ? "The connection has an open transaction." : "The connection has no transaction.";
            return refuse(replica, work.request, EndpointOutcome.WRONG_TRANSACTION_STATE, detail);
        }
        if (work.session.closed() && work.request.step() == TransactionStep.BEGIN) {
            return refuse(replica, work.request, EndpointOutcome.WRONG_TRANSACTION_STATE, "The connection is closed.");
        }
        return Optional.empty();
    }

    private Optional<ExecuteAnswer> runSingle(Replica replica, Work work) {
        ExecuteRequest request = work.request;
        boolean blocked = request.write()
                && Statements.keys(request.statements()).stream().anyMatch(replica.transactions()::locked);
        if (blocked) {
            return Optional.empty();
        }
        Map<String, JsonNode> writes = new LinkedHashMap<>();
        try {
            ArrayNode results = Statements.run(request.statements(), request.write(), writes, replica::value);
            if (request.write()) {
                commit(replica, request, writes, results);
            }
            return Optional.of(done(replica, request, results));
        } catch (StatementException e) {
            return refuse(replica, request, EndpointOutcome.STATEMENT_FAILED, e.getMessage());
        }
    }

    private Optional<ExecuteAnswer> runInTransaction(Replica replica, Work work) {
        ExecuteRequest request = work.request;
        if (request.step() == TransactionStep.ROLLBACK) {
            rollBack(replica, work.session, "The caller asked for it.");
            return Optional.of(done(replica, request, JsonNodeFactory.instance.arrayNode()));
        }
        Transaction transaction = replica.transactions()
                .of(work.session)
                .orElseGet(() -> replica.transactions().begin(work.session, request.requestId()));
        work.begun = request.step() == TransactionStep.BEGIN;
        if (replica.primary()) {
            for (String key : Statements.keys(request.statements())) {
                if (!replica.transactions().lock(transaction, key)) {
                    return Optional.empty();
                }
            }
        }
        try {
            ArrayNode results =
                    Statements.run(request.statements(), request.write(), transaction.writes(), replica::value);
            if (request.step() == TransactionStep.COMMIT) {
                replica.transactions().end(work.session);
                commit(replica, request, transaction.writes(), results);
            }
            return Optional.of(done(replica, request, results));
        } catch (StatementException e) {
            rollBack(replica, work.session, e.getMessage());
            return refuse(replica, request, EndpointOutcome.STATEMENT_FAILED, e.getMessage());
        }
    }

    private ExecuteAnswer done(Replica replica, ExecuteRequest request, JsonNode results) {
        return new ExecuteAnswer(
                request.requestId(), EndpointOutcome.DONE, results, "", replica.status(clock.instant()));
    }

    private void commit(Replica replica, ExecuteRequest request, Map<String, JsonNode> writes, ArrayNode results) {
        Instant now = clock.instant();
        if (!writes.isEmpty() || request.idempotencyKey().isPresent()) {
            List<LogEntry.Change> changes = new ArrayList<>();
            writes.forEach((key, value) ->
                    changes.add(new LogEntry.Change(key, replica.value(key).orElse(null), value)));
            LogEntry entry = new LogEntry(
                    replica.term(), replica.position() + 1, now, changes, request.idempotencyKey(), results);
            replica.append(entry);
            recordWrites(replica, entry, true);
        }
        history.record(new HistoryEvent.Committed(
                now, group, replica.name(), replica.point(), request.requestId(), request.idempotencyKey(), results));
    }

    /** Reports the writes of an entry that the endpoint has just committed, or taken from its primary. */
    void recordWrites(Replica replica, LogEntry entry, boolean committed) {
        LogPoint point = LogPoint.of(entry.term(), entry.position());
        for (LogEntry.Change change : entry.changes()) {
            history.record(new HistoryEvent.WriteApplied(
                    clock.instant(), group, replica.name(), point, change.key(), change.after(), committed));
        }
    }
}
