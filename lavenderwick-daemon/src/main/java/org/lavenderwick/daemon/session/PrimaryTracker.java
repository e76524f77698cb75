package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.lavenderwick.core.failover.ProvenPrimary;
import org.lavenderwick.core.failover.UnanimousEvidence;
import org.lavenderwick.core.failover.UnanimousEvidence.TimedReport;
import org.lavenderwick.core.model.EndpointName;

/**
 * The proven primary of one group, from the record of terms or from the endpoints themselves, whichever is later.
 * Confined to the traffic thread.
 */
final class PrimaryTracker {

    private final Duration evidenceAge;
    private final Map<EndpointName, TimedReport> reports = new HashMap<>();
    private final List<Waiting> waiting = new ArrayList<>();
    private Optional<ProvenPrimary> fromRecord = Optional.empty();
    private Optional<ProvenPrimary> fromEndpoints = Optional.empty();
    private Duration distrustedUntil = Duration.ofSeconds(-1);

    /** An acknowledgement that waits for evidence that is later than its answer. */
    private record Waiting(
            ProvenPrimary sentUnder, Duration answeredAt, Duration deadline, Runnable onProof, Runnable onDoubt) {}

    PrimaryTracker(Duration evidenceAge) {
        this.evidenceAge = evidenceAge;
    }

    /** Takes the proof from the record of terms; empty if the record proves no primary. */
    void onTermRecord(Optional<ProvenPrimary> view, Duration now) {
        fromRecord = view;
        resolvePending(now);
    }

    /** Takes the report of an endpoint. */
    void onStatusReport(EndpointName endpoint, TimedReport report, Collection<EndpointName> members, Duration now) {
        reports.put(endpoint, report);
        reports.keySet().retainAll(members);
        fromEndpoints = UnanimousEvidence.evaluate(members, reports);
        resolvePending(now);
    }

    /** Forgets all evidence gathered so far, as when the clock of the host cannot be trusted. */
    void discardEvidence(Duration now) {
        distrustedUntil = now;
        reports.clear();
        fromEndpoints = Optional.empty();
    }

    /** Returns the primary with the latest proof, however old the proof. */
    Optional<ProvenPrimary> latest() {
        Optional<ProvenPrimary> record =
                fromRecord.filter(view -> view.provenAt().compareTo(distrustedUntil) > 0);
        if (record.isEmpty() || fromEndpoints.isEmpty()) {
            return record.or(() -> fromEndpoints);
        }
        return Optional.of(ProvenPrimary.newer(record.get(), fromEndpoints.get()));
    }

    /** Returns the primary, if the proof still counts. */
    Optional<ProvenPrimary> current(Duration now) {
        return latest().filter(view -> view.provenAt().plus(evidenceAge).compareTo(now) > 0);
    }

    /** Tells the primary, its term and the age of the proof. */
    String describe(Duration now) {
        return latest().map(view -> "primary " + view.primary() + " in term " + view.term() + " proven "
                        + now.minus(view.provenAt()).toMillis() + " ms ago")
                .orElse("no primary proven");
    }

    /** Returns the age of the latest proof; empty if there is none. */
    Optional<Duration> age(Duration now) {
        return latest().map(view -> now.minus(view.provenAt()));
    }

    /**
     * Runs one of two actions: the first once it is proven that a primary still led its term when it answered, the
     * second when it is known not to or the deadline passes.
     *
     * @param sentUnder the primary to which the statement was sent, and its term
     */
    void runWhenProven(
            ProvenPrimary sentUnder, Duration answeredAt, Duration deadline, Runnable onProof, Runnable onDoubt) {
        waiting.add(new Waiting(sentUnder, answeredAt, deadline, onProof, onDoubt));
        resolvePending(answeredAt);
    }

    /** Decides the waiting acknowledgements as far as possible, and returns whether some still wait. */
    boolean resolvePending(Duration now) {
        Optional<ProvenPrimary> view = latest();
        for (Waiting ack : List.copyOf(waiting)) {
            boolean same = view.filter(ack.sentUnder()::isSameTerm).isPresent();
            boolean proven = same && view.get().provenAt().plus(evidenceAge).compareTo(ack.answeredAt()) > 0;
            boolean replaced = view.isPresent() && !same;
            if (proven || replaced || now.compareTo(ack.deadline()) >= 0) {
                waiting.remove(ack);
                (proven ? ack.onProof() : ack.onDoubt()).run();
            }
        }
        return !waiting.isEmpty();
    }
}
