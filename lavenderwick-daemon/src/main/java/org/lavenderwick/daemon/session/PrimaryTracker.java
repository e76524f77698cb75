package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.lavenderwick.core.failover.ConfirmedMembers;
import org.lavenderwick.core.failover.FailoverTimings;
import org.lavenderwick.core.failover.ProvenPrimary;
import org.lavenderwick.core.failover.UnanimousEvidence;
import org.lavenderwick.core.failover.UnanimousEvidence.TimedReport;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.time.Suspensions;

/**
 * The proven primary of one group. The evidence comes from the term record or from status reports of all members that
 * the record names, whichever is newer. Writes are acknowledged only after evidence proves that the primary had not
 * been replaced when it responded. Confined to the traffic thread.
 */
final class PrimaryTracker {

    /** The source of the evidence by which a primary is proven at present. */
    enum Source {
        TERM_RECORD,
        MEMBERS,
        NONE
    }

    private final FailoverTimings timings;
    private final Suspensions suspensions = Suspensions.create();
    private final Map<EndpointName, TimedReport> reports = new HashMap<>();
    private final Map<EndpointName, TimedReport> newestReports = new HashMap<>();
    private final List<PendingAcknowledgement> acknowledgements = new ArrayList<>();
    private Optional<ProvenPrimary> termRecordEvidence = Optional.empty();
    private Optional<ConfirmedMembers> members = Optional.empty();
    private Optional<ProvenPrimary> reportEvidence = Optional.empty();
    private Optional<ProvenPrimary> provenByAll = Optional.empty();
    private Optional<ProvenPrimary> reportedPrimary = Optional.empty();
    private Duration discardedUntil = Duration.ofSeconds(-1);

    /** An acknowledgement that waits for evidence that covers the time of the response. */
    private record PendingAcknowledgement(
            ProvenPrimary primaryWhenSent,
            Duration respondedAt,
            Duration deadline,
            Runnable onProof,
            Runnable onUnproven) {}

    PrimaryTracker(FailoverTimings timings) {
        this.timings = timings;
    }

    /**
     * Records the evidence from the term record.
     *
     * @param proven the primary that the record proves; empty if it proves none
     * @param confirmed the members that the record names; empty if it was never confirmed
     */
    void onTermRecord(Optional<ProvenPrimary> proven, Optional<ConfirmedMembers> confirmed, Duration now) {
        termRecordEvidence = proven;
        members = confirmed;
        resolvePending(now);
    }

    /**
     * Records the status report of an endpoint.
     *
     * @param isEvidence whether the connection of the report is old enough for the report to count as evidence
     * @param registered all registered endpoints of the group
     */
    void onStatusReport(
            EndpointName endpoint,
            TimedReport report,
            boolean isEvidence,
            Collection<EndpointName> registered,
            Duration now) {
        Set<EndpointName> known = new HashSet<>(registered);
        members.ifPresent(confirmed -> known.addAll(confirmed.members()));
        newestReports.put(endpoint, report);
        newestReports.keySet().retainAll(known);
        reportedPrimary = UnanimousEvidence.evaluate(known, newestReports);
        if (!isEvidence) {
            return;
        }
        reports.put(endpoint, report);
        reports.keySet().retainAll(known);
        provenByAll = UnanimousEvidence.evaluate(known, reports);
        reportEvidence = members.flatMap(
                confirmed -> UnanimousEvidence.evaluate(olderBySuspensions(confirmed), timings, reports));
        resolvePending(now);
    }

    private ConfirmedMembers olderBySuspensions(ConfirmedMembers confirmed) {
        return confirmed.olderBy(suspensions.since(confirmed.confirmedAt()));
    }

    /**
     * Discards all evidence gathered so far, because the clock of the host has jumped.
     *
     * @param suspended how long the host was suspended at most
     */
    void discardEvidence(Duration now, Duration suspended) {
        suspensions.record(now, suspended);
        discardedUntil = now;
        reports.clear();
        newestReports.clear();
        reportedPrimary = Optional.empty();
        provenByAll = Optional.empty();
        reportEvidence = Optional.empty();
    }

    /**
     * Returns the primary that status reports of the members and of all registered endpoints prove, regardless of their
     * age. Does not count the age of the membership, which a new era of the store does not confirm.
     */
    Optional<ProvenPrimary> provenByEndpoints() {
        return provenByAll;
    }

    /** Returns the primary that the newest reports agree on, whether or not they count as evidence. */
    Optional<ProvenPrimary> reportedByEndpoints() {
        return reportedPrimary;
    }

    /** Returns the source of the evidence that has not expired. */
    Source source(Duration now) {
        Optional<ProvenPrimary> current = current(now);
        if (current.isEmpty()) {
            return Source.NONE;
        }
        return current.equals(termRecordEvidence) ? Source.TERM_RECORD : Source.MEMBERS;
    }

    /** Returns a description of the members whose reports may prove the primary, for log lines. */
    String describeMembers(Duration now) {
        return members.map(this::olderBySuspensions)
                .map(confirmed -> "members " + confirmed.members() + " confirmed "
                        + now.minus(confirmed.confirmedAt()).toMillis() + " ms ago")
                .orElse("no confirmed members");
    }

    /** Returns the primary with the newest evidence, regardless of its age. */
    Optional<ProvenPrimary> latest() {
        Optional<ProvenPrimary> recorded =
                termRecordEvidence.filter(proven -> proven.provenAt().compareTo(discardedUntil) > 0);
        if (recorded.isEmpty() || reportEvidence.isEmpty()) {
            return recorded.or(() -> reportEvidence);
        }
        return Optional.of(ProvenPrimary.newer(recorded.get(), reportEvidence.get()));
    }

    /** Returns the primary if the newest evidence has not expired. */
    Optional<ProvenPrimary> current(Duration now) {
        return latest().filter(proven ->
                proven.provenAt().plus(timings.evidenceMaxAge()).compareTo(now) > 0);
    }

    /** Returns a description of the primary, its term and the age of the evidence, for log lines. */
    String describe(Duration now) {
        return latest().map(proven -> "primary " + proven.primary() + " in term " + proven.term() + " proven "
                        + now.minus(proven.provenAt()).toMillis() + " ms ago")
                .orElse("no primary proven");
    }

    /** Returns the age of the newest evidence; empty if there is none. */
    Optional<Duration> evidenceAge(Duration now) {
        return latest().map(proven -> now.minus(proven.provenAt()));
    }

    /**
     * Runs {@code onProof} once evidence proves that a primary still led its term when it responded. Runs
     * {@code onUnproven} instead if the newest evidence is for another primary or term, or if the deadline passes.
     *
     * @param primaryWhenSent the primary to which the statement was sent, with its term
     * @param respondedAt when the response arrived
     */
    void runWhenProven(
            ProvenPrimary primaryWhenSent,
            Duration respondedAt,
            Duration deadline,
            Runnable onProof,
            Runnable onUnproven) {
        acknowledgements.add(new PendingAcknowledgement(primaryWhenSent, respondedAt, deadline, onProof, onUnproven));
        resolvePending(respondedAt);
    }

    /** Completes each acknowledgement that is proven, refuted or past its deadline; returns whether others remain. */
    boolean resolvePending(Duration now) {
        Optional<ProvenPrimary> latest = latest();
        for (PendingAcknowledgement acknowledgement : List.copyOf(acknowledgements)) {
            boolean isSamePrimary =
                    latest.filter(acknowledgement.primaryWhenSent()::isSameTerm).isPresent();
            boolean isProven = isSamePrimary
                    && latest.get().provenAt().plus(timings.evidenceMaxAge()).compareTo(acknowledgement.respondedAt())
                            > 0;
            boolean isReplaced = latest.isPresent() && !isSamePrimary;
            if (isProven || isReplaced || now.compareTo(acknowledgement.deadline()) >= 0) {
                acknowledgements.remove(acknowledgement);
                (isProven ? acknowledgement.onProof() : acknowledgement.onUnproven()).run();
            }
        }
        return !acknowledgements.isEmpty();
    }
}
