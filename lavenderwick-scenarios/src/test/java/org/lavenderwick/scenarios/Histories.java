package org.lavenderwick.scenarios;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.standins.history.AppliedWrite;
import org.lavenderwick.standins.history.CallerOperation;
import org.lavenderwick.standins.history.History;
import org.lavenderwick.standins.history.HistoryChecker;
import org.lavenderwick.standins.history.OperationResult;
import org.lavenderwick.standins.history.TermOpening;

import static org.assertj.core.api.Assertions.assertThat;

/** Checks of recorded histories. */
final class Histories {
    private Histories() {}

    /**
     * Requires that the whole history keeps every guarantee and that reads and writes were answered from the given
     * record on, and prints the counts.
     */
    static void assertKept(Records records, int from, List<AppliedWrite> writes, List<TermOpening> openings) {
        List<CallerOperation> operations =
                records.all().stream().map(Records.Seen::operation).toList();
        System.out.printf(
                "history: %d operations, %d commits, %d later terms, this scenario %s%n",
                operations.size(), writes.size(), openings.size(), records.kinds(from));
        assertThat(operations.subList(from, operations.size()))
                .anyMatch(operation -> operation.write() && operation.result() == OperationResult.ACKNOWLEDGED)
                .anyMatch(operation -> !operation.write() && operation.result() == OperationResult.ACKNOWLEDGED);
        assertThat(HistoryChecker.check(new History(operations, writes, openings)))
                .isEmpty();
        assertThat(records.wrongAnswers()).isEmpty();
        assertThat(records.select(0, seen -> seen.kind().equals("INTERNAL_ERROR")))
                .isEmpty();
        assertTransactionsAreWhole(writes);
    }

    /** Each log entry holds the writes of one logical request, and a pair is committed as a whole. */
    private static void assertTransactionsAreWhole(List<AppliedWrite> writes) {
        Map<LogPoint, Set<String>> values = new TreeMap<>(Comparator.naturalOrder());
        writes.forEach(write ->
                values.computeIfAbsent(write.point(), absent -> new TreeSet<>()).add(write.value()));
        values.forEach((point, together) -> {
            Set<String> requests =
                    together.stream().map(value -> value.replaceAll("/.*", "")).collect(Collectors.toSet());
            assertThat(requests)
                    .as("requests in the entry at %s: %s", point, together)
                    .hasSize(1);
            if (together.stream().anyMatch(value -> value.contains("/"))) {
                String request = requests.iterator().next();
                assertThat(together).as("entry at %s", point).containsExactly(request + "/0", request + "/1");
            }
        });
    }
}
