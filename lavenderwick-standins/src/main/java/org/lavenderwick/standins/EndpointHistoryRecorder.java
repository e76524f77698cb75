package org.lavenderwick.standins;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;

import com.fasterxml.jackson.databind.JsonNode;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.Term;
import org.lavenderwick.standins.history.AppliedWrite;
import org.lavenderwick.standins.history.TermOpening;

/** Collects what the checker of histories needs from the endpoints' events. Thread-safe. */
public final class EndpointHistoryRecorder implements EndpointHistory {

    private final Instant origin;
    private final List<AppliedWrite> writes = new ArrayList<>();
    private final List<HistoryEvent.TermBegan> terms = new ArrayList<>();

    /** Creates an empty recorder whose times count from the given one, on the clock of the endpoints. */
    public EndpointHistoryRecorder(Instant origin) {
        this.origin = origin;
    }

    @Override
    public synchronized void record(HistoryEvent event) {
        if (event instanceof HistoryEvent.WriteApplied write && write.committed()) {
            writes.add(new AppliedWrite(
                    write.group(), write.endpoint(), write.point(), write.key(), text(write.value()), at(event)));
        } else if (event instanceof HistoryEvent.TermBegan term) {
            terms.add(term);
        }
    }

    /** Returns the writes that primaries committed, in order. Text values come without quotes. */
    public synchronized List<AppliedWrite> writes() {
        return List.copyOf(writes);
    }

    /** Returns the terms after the first of each group, in order; endpoints do not know which were planned. */
    public synchronized List<TermOpening> openings(BiPredicate<GroupName, Term> planned) {
        return terms.stream()
                .map(term -> new TermOpening(
                        term.group(),
                        term.term(),
                        term.startPosition(),
                        planned.test(term.group(), term.term()),
                        at(term)))
                .toList();
    }

    private Duration at(HistoryEvent event) {
        return Duration.between(origin, event.time());
    }

    private static String text(JsonNode value) {
        return value.isTextual() ? value.textValue() : value.toString();
    }
}
