package org.lavenderwick.scenarios;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.lavenderwick.standins.history.CallerOperation;
import org.lavenderwick.standins.history.OperationResult;

/** What callers saw. Thread-safe. */
final class Records {
    private final Instant origin;
    private final List<Seen> seen = new ArrayList<>();
    private final List<String> wrongAnswers = new ArrayList<>();

    /**
     * One operation with what the checker does not need.
     *
     * @param operation the operation
     * @param kind error kind, "DONE" for an answer, or "NO_ANSWER"
     * @param endpoint endpoint that ran it, empty if not known
     * @param keyed whether it had an idempotency key
     * @param transaction whether it was part of a longer transaction
     */
    record Seen(CallerOperation operation, String kind, String endpoint, boolean keyed, boolean transaction) {
        boolean acknowledged() {
            return operation.result() == OperationResult.ACKNOWLEDGED;
        }

        boolean acknowledgedWrite() {
            return operation.write() && acknowledged();
        }
    }

    Records(Instant origin) {
        this.origin = origin;
    }

    /** Returns the present time, counted as the history counts it. */
    Duration now() {
        return Duration.between(origin, Instant.now());
    }

    synchronized void add(Seen operation) {
        seen.add(operation);
    }

    /** Reports an answer that is not the whole answer to its request. */
    synchronized void wrongAnswer(String detail) {
        wrongAnswers.add(detail);
    }

    synchronized List<String> wrongAnswers() {
        return List.copyOf(wrongAnswers);
    }

    synchronized List<Seen> all() {
        return List.copyOf(seen);
    }

    synchronized int size() {
        return seen.size();
    }

    /** Returns the number of records from the given one on that fit. */
    synchronized long count(int from, Predicate<Seen> condition) {
        return seen.subList(from, seen.size()).stream().filter(condition).count();
    }

    /** Returns the records from the given one on that fit. */
    synchronized List<Seen> select(int from, Predicate<Seen> condition) {
        return seen.subList(from, seen.size()).stream().filter(condition).toList();
    }

    /** Returns the number of records from the given one on by access and kind of answer. */
    synchronized Map<String, Long> kinds(int from) {
        return seen.subList(from, seen.size()).stream()
                .collect(Collectors.groupingBy(
                        record -> (record.operation().write() ? "write " : "read ") + record.kind(),
                        TreeMap::new,
                        Collectors.counting()));
    }
}
