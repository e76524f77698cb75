package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;

import org.lavenderwick.core.model.EndpointName;

/**
 * Evidence from the endpoints of a group. A primary has not been replaced at the time of the oldest question if a
 * majority of the members, asked since then, has promised no later term, because a promotion needs the promises of a
 * majority first.
 */
public final class MajorityEvidence {

    /**
     * A report and the time at which it was asked for.
     *
     * @param askedAt when the question was sent
     * @param report the answer
     */
    public record TimedReport(Duration askedAt, EndpointReport report) {}

    private MajorityEvidence() {}

    /**
     * Returns the primary that the reports prove, with the time that the proof reaches.
     *
     * @param members all endpoints of the group
     * @param reports the newest report of each endpoint that answered
     */
    public static Optional<PrimaryView> evaluate(
            Collection<EndpointName> members, Map<EndpointName, TimedReport> reports) {
        Optional<EndpointName> leader = members.stream()
                .filter(name ->
                        reports.containsKey(name) && reports.get(name).report().leads())
                .max(Comparator.comparingLong(name -> reports.get(name).report().term()));
        if (leader.isEmpty()) {
            return Optional.empty();
        }
        TimedReport leading = reports.get(leader.get());
        long term = leading.report().term();
        int needed = members.size() / 2 + 1;
        // The leader counts for itself; of the others, the most recently asked ones count.
        return members.stream()
                .filter(name -> !name.equals(leader.get()) && reports.containsKey(name))
                .map(reports::get)
                .filter(timed -> timed.report().supports(term))
                .map(TimedReport::askedAt)
                .sorted(Comparator.reverseOrder())
                .limit(needed - 1L)
                .reduce((first, second) -> second)
                .map(oldest -> min(oldest, leading.askedAt()))
                .or(() -> needed == 1 ? Optional.of(leading.askedAt()) : Optional.empty())
                .filter(ignored -> supporters(members, reports, leader.get(), term) >= needed - 1)
                .map(provenAt -> new PrimaryView(leader.get(), term, provenAt));
    }

    private static long supporters(
            Collection<EndpointName> members, Map<EndpointName, TimedReport> reports, EndpointName leader, long term) {
        return members.stream()
                .filter(name -> !name.equals(leader) && reports.containsKey(name))
                .filter(name -> reports.get(name).report().supports(term))
                .count();
    }

    private static Duration min(Duration first, Duration second) {
        return first.compareTo(second) <= 0 ? first : second;
    }
}
