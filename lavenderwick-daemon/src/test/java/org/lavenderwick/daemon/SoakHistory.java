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

/** What callers asked and heard, judged against what the endpoints ran. Thread-safe while it is recorded. */
final class SoakHistory {

    /** Errors after which nothing of an attempt may be kept. */
    private static final Set<String> PROMISES =
            Set.of("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "MAXCONN", "NODB", "MALFORMED");

    /** Which commits a read must show. */
    enum Freshness {
        /** All that were acknowledged before. */
        PRIMARY,
        /** Those acknowledged longer ago than the accepted staleness. */
        BOUNDED,
        /** Those of the same session, and those acknowledged longer ago than the accepted staleness. */
        OWN_WRITES
    }

    /**
     * One statement and its answer.
     *
     * @param session the number of the session
     * @param item the item that it reads or writes; empty for other statements
     * @param written the value that it writes; empty if it does not write
     * @param values the values that the session had set
     * @param answer the lines of the answer; empty if the connection ended or nothing came
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
     * A statement by itself, or the statements of a transaction.
     *
     * @param begunAt when the first byte was sent
     * @param commit the statement that commits what the attempt writes
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
     * Returns what must not have happened, one line for each case.
     *
     * @param runs the statements that ran, in order
     * @param commits all commits, in order
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

    /** Returns how often each outcome came, for the log of a test. */
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
