package org.lavenderwick.core.failover;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import io.vavr.control.Either;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.catalog.EndpointRole;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;

/** Collects the promises of the endpoints of one group not to support a term any more. */
final class PromiseRound {

    private final Map<EndpointName, EndpointEntry> members;
    private final Optional<EndpointName> oldPrimary;
    private final EndpointControl endpoints;
    private final Map<EndpointName, EndpointReport> promises = new HashMap<>();
    private long promisedTerm;
    private String cause = "";

    private PromiseRound(
            Map<EndpointName, EndpointEntry> members, Optional<EndpointName> oldPrimary, EndpointControl endpoints) {
        this.members = members;
        this.oldPrimary = oldPrimary;
        this.endpoints = endpoints;
    }

    /** Returns a round that stops the old primary if it can be reached. */
    static PromiseRound of(
            Map<EndpointName, EndpointEntry> members, EndpointName oldPrimary, EndpointControl endpoints) {
        return new PromiseRound(members, Optional.of(oldPrimary), endpoints);
    }

    /** Returns a round for a group whose old primary is not known any more. */
    static PromiseRound withoutPrimary(Map<EndpointName, EndpointEntry> members, EndpointControl endpoints) {
        return new PromiseRound(members, Optional.empty(), endpoints);
    }

    /** Forgets all promises. */
    void forget() {
        promises.clear();
    }

    /**
     * Asks the endpoints that have not promised yet. A stopped primary is promise enough, and the replicas go on
     * receiving the rest of its log; otherwise the replicas stop to receive, and one of those may be promoted.
     *
     * @return whether no further promise is to be expected
     */
    boolean ask(long term) {
        Map<EndpointName, EndpointReport> reports = reports();
        if (promises.isEmpty()) {
            promisedTerm = Math.max(term, newestTerm(reports)) + 1;
        }
        boolean stopped = oldPrimary
                .filter(name -> leadsNewestTerm(name, reports))
                .filter(name -> ask(name, member -> endpoints.stepDown(member, promisedTerm)))
                .isPresent();
        if (stopped) {
            return true;
        }
        for (EndpointName name : members.keySet()) {
            if (!isOldPrimary(name)) {
                ask(name, member -> endpoints.pauseReplication(member, promisedTerm));
            }
        }
        long expected =
                members.keySet().stream().filter(name -> !isOldPrimary(name)).count();
        return expected > 0 && promises.size() >= expected;
    }

    /** Only the primary of the newest term is worth stopping; another one may lead by an order that came late. */
    private static boolean leadsNewestTerm(EndpointName name, Map<EndpointName, EndpointReport> reports) {
        EndpointReport report = reports.get(name);
        return report != null && report.role() == EndpointRole.PRIMARY && report.term() == newestTerm(reports);
    }

    /** Returns whether any endpoint has promised. */
    boolean hasAny() {
        return !promises.isEmpty();
    }

    private boolean ask(EndpointName name, Function<EndpointEntry, Either<Failure, EndpointReport>> order) {
        EndpointEntry member = members.get(name);
        if (member == null) {
            return false;
        }
        if (!promises.containsKey(name)) {
            order.apply(member)
                    .peek(report -> promises.put(name, report))
                    .peekLeft(failure -> cause = failure.detail());
        }
        return promises.containsKey(name);
    }

    private static long newestTerm(Map<EndpointName, EndpointReport> reports) {
        return reports.values().stream().mapToLong(EndpointReport::term).max().orElse(0);
    }

    /**
     * Returns whether an endpoint may be promoted: no later term has begun, and either the old primary is still stopped
     * or the endpoint still keeps its promise, which it forgets when it restarts.
     */
    boolean allow(EndpointName candidate, Map<EndpointName, EndpointReport> reports) {
        boolean stopped = oldPrimary
                .filter(promises::containsKey)
                .map(reports::get)
                .filter(report -> report.role() == EndpointRole.REPLICA)
                .isPresent();
        EndpointReport report = reports.get(candidate);
        boolean kept = report != null && report.promisedTerm() >= promisedTerm;
        return newestTerm(reports) < promisedTerm && (stopped || kept);
    }

    private boolean isOldPrimary(EndpointName name) {
        return oldPrimary.equals(Optional.of(name));
    }

    /** Returns the endpoint that leads a later term than the given one, if there is one. */
    Optional<EndpointName> leading(Map<EndpointName, EndpointReport> reports, long term) {
        return reports.entrySet().stream()
                .filter(entry -> entry.getValue().role() == EndpointRole.PRIMARY)
                .filter(entry -> entry.getValue().term() > term)
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /** Returns whether the stopped primary holds commits that the candidate has not received yet. */
    boolean isCatchingUp(EndpointName candidate, Map<EndpointName, EndpointReport> reports) {
        return oldPrimary
                .filter(name -> !name.equals(candidate) && reports.containsKey(candidate))
                .map(reports::get)
                .filter(old -> old.received().compareTo(reports.get(candidate).received()) > 0)
                .isPresent();
    }

    /** Returns why the last endpoint that did not promise failed to. */
    String cause() {
        return cause;
    }

    /** Asks all endpoints for their state; those that do not answer are missing. */
    Map<EndpointName, EndpointReport> reports() {
        Map<EndpointName, EndpointReport> reports = new HashMap<>();
        members.forEach((name, member) -> endpoints.status(member).peek(report -> reports.put(name, report)));
        return reports;
    }

    /**
     * Returns the endpoint that received most. One that stays goes before one that leaves, and any replica before the
     * old primary.
     */
    Optional<EndpointName> best(Map<EndpointName, EndpointReport> reports, Set<EndpointName> excluded) {
        Comparator<EndpointName> order = Comparator.comparing((EndpointName name) -> !isOldPrimary(name))
                .thenComparing(name -> !members.get(name).draining())
                .thenComparing(name -> reports.get(name).received())
                .thenComparing(Comparator.reverseOrder());
        return reports.keySet().stream()
                .filter(name -> !excluded.contains(name))
                .max(order);
    }
}
