package org.lavenderwick.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.lavenderwick.platform.standin.DatabaseStandin.Commit;
import org.lavenderwick.platform.standin.DatabaseStandin.Run;

/**
 * The statements and responses of all callers, checked against what the endpoints ran. Recording is thread-safe.
 */
final class SoakHistory {

    /** Error codes after which no write of the attempt may have been committed. */
    private static final Set<String> PROMISES =
            Set.of("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "MAXCONN", "NODB", "MALFORMED");

    /** The commits that a read must reflect. */
    enum Freshness {
        /** All commits acknowledged before the read. */
        PRIMARY,
        /** Commits acknowledged longer ago than the accepted staleness. */
        BOUNDED,
        /** Commits of the same session, and commits acknowledged longer ago than the accepted staleness. */
        OWN_WRITES
    }

    /**
     * One statement and its response.
     *
     * @param session the number of the session
     * @param item the item that it reads or writes; empty for other statements
     * @param written the value that it writes; empty if it does not write
     * @param values the session variables that were set
     * @param answer the lines of the response; empty if the connection was closed or the request timed out
     */
    record Statement(
            String id,
            long session,
            String item,
            String written,
            Map<String, String> values,
            Duration sentAt,
            Duration answeredAt,
            List<String> answer) {

        Optional<String> digest() {
            return answer.stream()
                    .filter(line -> line.startsWith("COMPLETE "))
                    .map(line -> line.substring("COMPLETE ".length()))
                    .findFirst();
        }

        Optional<String> error() {
            return answer.stream()
                    .filter(line -> line.startsWith("ERROR "))
                    .map(line -> line.split(" ")[1])
                    .findFirst();
        }

        boolean succeeded() {
            return digest().isPresent();
        }

        String row() {
            return answer.isEmpty() || !answer.get(0).startsWith("ROW ") ? "" : answer.get(0);
        }
    }

    /**
     * A single statement outside a transaction, or all statements of a transaction.
     *
     * @param begunAt when the first byte was sent
     * @param commit the statement that commits the writes of the attempt
     */
    record Attempt(
            Freshness freshness,
            Duration begunAt,
            List<Statement> statements,
            boolean transaction,
            Optional<Statement> commit) {

        List<Statement> writes() {
            return statements.stream()
                    .filter(statement -> !statement.written().isEmpty())
                    .toList();
        }

        boolean isAcknowledged() {
            return commit.isPresent() && commit.get().succeeded();
        }

        boolean isPromisedGone() {
            return statements.stream()
                    .anyMatch(statement ->
                            statement.error().filter(PROMISES::contains).isPresent());
        }
    }

    private final Duration acceptedStaleness;
    private final List<Attempt> attempts = new ArrayList<>();
    private final Set<String> sentIds = new HashSet<>();

    SoakHistory(Duration acceptedStaleness) {
        this.acceptedStaleness = acceptedStaleness;
    }

    synchronized void sends(String id) {
        sentIds.add(id);
    }

    synchronized void add(Attempt attempt) {
        attempts.add(attempt);
    }

    synchronized int size() {
        return attempts.size();
    }

    synchronized long acknowledged() {
        return attempts.stream().filter(Attempt::isAcknowledged).count();
    }

    /**
     * Returns the consistency violations in the history, one line each.
     *
     * @param runs the statements that ran, in order of execution
     * @param commits all commits, in order of execution
     * @param late the values that a former primary committed
     * @param rolledBack the values that promotions rolled back
     */
    synchronized List<String> violations(
            List<Run> runs, List<Commit> commits, Set<String> late, Set<String> rolledBack) {
        List<String> found = new ArrayList<>();
        Map<String, Run> byDigest = new HashMap<>();
        for (Run run : runs) {
            byDigest.put(run.digest(), run);
            if (!sentIds.contains(run.id())) {
                found.add("unasked: " + run);
            }
        }
        Map<String, Integer> orders = new HashMap<>();
        for (Commit commit : commits) {
            if (orders.put(commit.value(), orders.size() + 1) != null) {
                found.add("committed twice: " + commit);
            }
        }
        for (Attempt attempt : attempts) {
            checkAnswers(attempt, byDigest, found);
            checkWrites(attempt, orders.keySet(), late, found);
        }
        checkReads(orders, rolledBack, found);
        return found;
    }

    private static void checkAnswers(Attempt attempt, Map<String, Run> runs, List<String> found) {
        Set<String> connections = new HashSet<>();
        for (Statement statement : attempt.statements()) {
            String digest = statement.digest().orElse("-");
            if (digest.equals("-")) {
                continue;
            }
            Run run = runs.get(digest);
            if (run == null || !run.id().equals(statement.id()) || !run.row().equals(statement.row())) {
                found.add("mixed: " + statement + " and " + run);
            } else if (!run.values().equals(statement.values())) {
                found.add("other values: " + statement + " and " + run);
            } else {
                connections.add(run.endpoint() + "/" + run.connection());
            }
        }
        if (attempt.transaction() && connections.size() > 1) {
            found.add("not on one connection: " + attempt);
        }
    }

    private static void checkWrites(Attempt attempt, Set<String> committed, Set<String> late, List<String> found) {
        for (Statement write : attempt.writes()) {
            String value = write.written();
            if (attempt.isPromisedGone() && committed.contains(value)) {
                found.add("refused, yet committed: " + attempt);
            } else if (attempt.commit().isEmpty() && committed.contains(value)) {
                found.add("committed unasked: " + attempt);
            } else if (attempt.isAcknowledged() && !committed.contains(value)) {
                found.add("acknowledged, yet not committed: " + attempt);
            } else if (attempt.isAcknowledged() && late.contains(value)) {
                found.add("acknowledged by a former primary: " + attempt);
            }
        }
    }

    private void checkReads(Map<String, Integer> orders, Set<String> rolledBack, List<String> found) {
        Map<String, List<Attempt>> writers = new HashMap<>();
        for (Attempt attempt : attempts) {
            if (attempt.isAcknowledged()) {
                attempt.writes().stream()
                        .filter(write -> !rolledBack.contains(write.written()))
                        .map(Statement::item)
                        .distinct()
                        .forEach(item -> writers.computeIfAbsent(item, name -> new ArrayList<>())
                                .add(attempt));
            }
        }
        for (Attempt attempt : attempts) {
            for (Statement read : attempt.statements()) {
                if (read.row().isEmpty() || !read.succeeded()) {
                    continue;
                }
                int seen = orders.getOrDefault(read.row().substring("ROW ".length()), 0);
                writers.getOrDefault(read.item(), List.of()).stream()
                        .filter(writer -> mustSee(attempt, read, writer))
                        .flatMap(writer -> writer.writes().stream())
                        .filter(write -> write.item().equals(read.item()) && !rolledBack.contains(write.written()))
                        .filter(write -> orders.getOrDefault(write.written(), 0) > seen)
                        .findFirst()
                        .ifPresent(write -> found.add("stale: " + attempt + " lacks " + write));
            }
        }
    }

    private boolean mustSee(Attempt reader, Statement read, Attempt writer) {
        Duration acknowledged = writer.commit().orElseThrow().answeredAt();
        Duration old = reader.begunAt().minus(acceptedStaleness);
        boolean own = writer.commit().orElseThrow().session() == read.session();
        return switch (reader.freshness()) {
            case PRIMARY -> acknowledged.compareTo(reader.begunAt()) < 0;
            case BOUNDED -> acknowledged.compareTo(old) < 0;
            case OWN_WRITES -> acknowledged.compareTo(own ? reader.begunAt() : old) < 0;
        };
    }

    /** Returns the number of occurrences of each outcome, for the test log. */
    synchronized Map<String, Long> outcomes() {
        return attempts.stream()
                .flatMap(attempt -> attempt.statements().stream())
                .collect(Collectors.groupingBy(
                        statement -> statement.succeeded()
                                ? "done"
                                : statement.error().orElse("no answer"),
                        Collectors.counting()));
    }
}
