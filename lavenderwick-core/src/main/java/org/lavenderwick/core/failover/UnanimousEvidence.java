package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;

import org.lavenderwick.core.model.EndpointName;

/**
 * Evidence from the endpoints of a group. A primary had not been replaced at the time of the oldest question if every
 * other member, asked since then, follows no later term and has promised none: whichever of them is promoted gives that
 * promise first and leads a later term afterwards. A majority is not enough, as the members that are not promoted
 * forget their promise when another one takes over.
 */
public final class UnanimousEvidence {

    /**
     * A report and the time at which it was asked for.
     *
     * @param requestedAt when the question was sent
     * @param report the answer
     */
    public record TimedReport(Duration requestedAt, EndpointReport report) {}

    private UnanimousEvidence() {}

    /**
     * Returns the primary that the reports prove, with the time that the proof reaches.
     *
     * @param members all endpoints of the group
     * @param reports the newest report of each endpoint that answered
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
