package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;

import org.lavenderwick.core.model.EndpointName;

/**
 * Evidence from status reports of all endpoints of a group. The primary had not been replaced when the oldest of the
 * reports was requested, if no other member knows a later term or has given a promise for one. A member gives such a
 * promise before it is promoted and leads a later term afterwards, so its report would show one of the two.
 *
 * <p>The reports of a majority would not prove this, because the members that are not promoted forget their promise
 * when another member is.
 *
 * <p>An endpoint that is promoted must be among the members whose reports count. A daemon counts the members of the
 * term record, and those only for {@link FailoverTimings#membershipMaxAge} after the record was last confirmed. A
 * failover promotes no other endpoint before that time is over everywhere; see {@link CandidateEligibility}.
 */
public final class UnanimousEvidence {

    /**
     * A status report with the time of its request.
     *
     * @param requestedAt when the request was sent, on the daemon's monotonic clock
     * @param report the report
     */
    public record TimedReport(Duration requestedAt, EndpointReport report) {}

    private UnanimousEvidence() {}

    /**
     * Returns the primary that the reports of the confirmed members prove; empty if a report is missing, no member
     * leads, the members disagree, or the members were last confirmed too long before a report was requested.
     *
     * @param reports the newest report of each endpoint that responded
     */
    public static Optional<ProvenPrimary> evaluate(
            ConfirmedMembers confirmed, FailoverTimings timings, Map<EndpointName, TimedReport> reports) {
        return evaluate(confirmed.members(), reports)
                .filter(proven -> proven.provenAt().compareTo(confirmed.validUntil(timings)) <= 0);
    }

    /**
     * Returns the primary that the reports prove, provided that the given members are all that may be promoted; empty
     * if a report is missing, no member leads or the members disagree.
     *
     * @param members all endpoints of the group
     * @param reports the newest report of each endpoint that responded
     */
    public static Optional<ProvenPrimary> evaluate(
            Collection<EndpointName> members, Map<EndpointName, TimedReport> reports) {
        if (members.isEmpty() || !reports.keySet().containsAll(members)) {
            return Optional.empty();
        }
        Optional<EndpointName> leader = members.stream()
                .filter(name -> reports.get(name).report().leads())
                .findFirst();
        if (leader.isEmpty()) {
            return Optional.empty();
        }
        long term = reports.get(leader.get()).report().term();
        boolean unanimous = members.stream()
                .filter(name -> !name.equals(leader.get()))
                .allMatch(name -> reports.get(name).report().follows(term));
        if (!unanimous) {
            return Optional.empty();
        }
        return members.stream()
                .map(name -> reports.get(name).requestedAt())
                .min(Duration::compareTo)
                .map(provenAt -> new ProvenPrimary(leader.get(), term, provenAt));
    }
}
