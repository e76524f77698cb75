package org.lavenderwick.standins.history;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.common.collect.ArrayListMultimap;
import com.google.common.collect.ListMultimap;
import com.google.common.collect.Multimaps;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.standins.history.Violation.Kind;

/**
 * Checks a history against the guarantees. It uses no code of the proxy, so that a fault there cannot hide itself.
 * Cost is linear in the history, apart from a factor for the number of terms.
 */
public final class HistoryChecker {

    private final History history;
    private final ListMultimap<String, AppliedWrite> writesByValue = ArrayListMultimap.create();
    private final ListMultimap<GroupName, TermOpening> openings = ArrayListMultimap.create();
    private final List<Violation> violations = new ArrayList<>();

    private HistoryChecker(History history) {
        this.history = history;
        history.writes().forEach(write -> writesByValue.put(write.value(), write));
        history.openings().forEach(opening -> openings.put(opening.group(), opening));
    }

    /** Returns all violations in the history; empty if it keeps every guarantee. */
    public static List<Violation> check(History history) {
        HistoryChecker checker = new HistoryChecker(history);
        checker.checkAnswers();
        checker.checkRuns();
        checker.checkRefusals();
        checker.checkSessions();
        checker.checkAcknowledgements();
        return List.copyOf(checker.violations);
    }

    private void checkAnswers() {
        for (CallerOperation operation : history.operations()) {
            if (operation.result() == OperationResult.ACKNOWLEDGED
                    && operation.value().isPresent()
                    && !isKnownWrite(operation)) {
                report(Kind.WRONG_ANSWER, operation, "no committed write fits the answer");
            }
        }
    }

    private boolean isKnownWrite(CallerOperation operation) {
        return writesByValue.get(operation.value().orElseThrow()).stream()
                .anyMatch(write -> write.group().equals(operation.group())
                        && write.key().equals(operation.key())
                        && write.at().compareTo(operation.returnedAt()) <= 0);
    }

    private void checkRuns() {
        for (String value : writesByValue.keySet()) {
            List<AppliedWrite> runs = writesByValue.get(value);
            long surviving = runs.stream().filter(this::survives).count();
            long distinctTerms =
                    runs.stream().map(run -> run.point().term()).distinct().count();
            if (surviving > 1 || distinctTerms < runs.size()) {
                violations.add(new Violation(Kind.DOUBLE_RUN, "value " + value + " committed as " + runs));
            }
        }
    }

    private boolean survives(AppliedWrite write) {
        return droppedBy(write.group(), write.point()).isEmpty();
    }

    /** Returns the first later term that did not keep the point. */
    private Optional<TermOpening> droppedBy(GroupName group, LogPoint point) {
        return openings.get(group).stream()
                .filter(opening -> opening.term().isAfter(point.term()))
                .filter(opening -> opening.startPosition() < point.position())
                .min(Comparator.comparing(TermOpening::term));
    }

    private void checkRefusals() {
        Set<String> mayHaveRun = new HashSet<>();
        for (CallerOperation operation : history.operations()) {
            if (operation.write() && !saysNotRun(operation)) {
                operation.value().ifPresent(mayHaveRun::add);
            }
        }
        for (CallerOperation operation : history.operations()) {
            boolean refused = operation.write() && saysNotRun(operation);
            if (refused
                    && operation.value().filter(writesByValue::containsKey).isPresent()
                    && !mayHaveRun.contains(operation.value().orElseThrow())) {
                report(Kind.FALSE_NOT_RUN, operation, "refused as not run, but it committed");
            }
        }
    }

    private static boolean saysNotRun(CallerOperation operation) {
        return operation.result() == OperationResult.NOT_RUN
                || operation.result() == OperationResult.SESSION_WRITE_LOST;
    }

    private void checkSessions() {
        Multimaps.index(history.operations(), CallerOperation::session)
                .asMap()
                .values()
                .forEach(operations -> checkSession(operations.stream()
                        .sorted(Comparator.comparing(CallerOperation::invokedAt))
                        .toList()));
    }

    private void checkSession(List<CallerOperation> operations) {
        Map<SessionKey, LogPoint> newest = new HashMap<>();
        for (CallerOperation operation : operations) {
            SessionKey key = new SessionKey(operation.group(), operation.key());
            if (operation.result() == OperationResult.SESSION_WRITE_LOST) {
                newest.keySet().removeIf(known -> known.group().equals(operation.group()));
            } else if (operation.result() == OperationResult.ACKNOWLEDGED && operation.write()) {
                acknowledgedPoint(operation).ifPresent(point -> newest.merge(key, point, LogPoint::max));
            } else if (operation.result() == OperationResult.ACKNOWLEDGED) {
                checkSessionRead(operation, newest.getOrDefault(key, LogPoint.START));
            }
        }
    }

    private void checkSessionRead(CallerOperation read, LogPoint required) {
        LogPoint seen = read.value().stream()
                .flatMap(value -> writesByValue.get(value).stream())
                .filter(write -> write.group().equals(read.group()))
                .map(AppliedWrite::point)
                .max(Comparator.naturalOrder())
                .orElse(LogPoint.START);
        if (seen.compareTo(required) < 0) {
            report(Kind.STALE_SESSION_READ, read, "saw " + seen + " after its own write at " + required);
        }
    }

    private void checkAcknowledgements() {
        for (CallerOperation operation : history.operations()) {
            if (operation.write() && operation.result() == OperationResult.ACKNOWLEDGED) {
                acknowledgedPoint(operation).ifPresent(point -> checkAcknowledgement(operation, point));
            }
        }
    }

    /** Returns the newest commit of a write's value that its acknowledgement can stand for. */
    private Optional<LogPoint> acknowledgedPoint(CallerOperation write) {
        return write.value().stream()
                .flatMap(value -> writesByValue.get(value).stream())
                .filter(commit -> commit.at().compareTo(write.returnedAt()) <= 0)
                .map(AppliedWrite::point)
                .max(Comparator.naturalOrder());
    }

    private void checkAcknowledgement(CallerOperation write, LogPoint point) {
        Duration replacedAt = openings.get(write.group()).stream()
                .filter(opening -> opening.term().isAfter(point.term()))
                .map(TermOpening::at)
                .min(Comparator.naturalOrder())
                .orElse(null);
        if (replacedAt != null && write.returnedAt().compareTo(replacedAt) > 0 && !answeredFromRecord(write, point)) {
            report(Kind.LATE_ACKNOWLEDGEMENT, write, "its term was replaced at " + replacedAt);
        }
        droppedBy(write.group(), point)
                .filter(TermOpening::planned)
                .ifPresent(opening -> report(Kind.LOST_IN_SWITCHOVER, write, "dropped by " + opening));
    }

    /**
     * Returns whether another endpoint than those that committed the write answered a repeat of it from its record of
     * the key, and the commit had not been dropped by then. Only a later primary can do so.
     */
    private boolean answeredFromRecord(CallerOperation write, LogPoint point) {
        boolean byCommitter = writesByValue.get(write.value().orElseThrow()).stream()
                .anyMatch(commit -> write.answeredBy().equals(Optional.of(commit.endpoint())));
        boolean droppedBefore = openings.get(write.group()).stream()
                .anyMatch(opening -> opening.term().isAfter(point.term())
                        && opening.startPosition() < point.position()
                        && opening.at().compareTo(write.returnedAt()) <= 0);
        return write.answeredBy().isPresent() && !byCommitter && !droppedBefore;
    }

    private void report(Kind kind, CallerOperation operation, String reason) {
        violations.add(new Violation(kind, reason + ": " + operation));
    }

    private record SessionKey(GroupName group, String key) {}
}
