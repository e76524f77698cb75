package org.lavenderwick.core.failover;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import io.vavr.control.Either;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;

/** Collects the promises of the endpoints of one group not to support a term any more. */
final class PromiseRound {

    private final Map<EndpointName, EndpointEntry> members;
    private final EndpointName suspect;
    private final EndpointControl endpoints;
    private final Map<EndpointName, EndpointReport> promises = new HashMap<>();
    private String cause = "";

    PromiseRound(Map<EndpointName, EndpointEntry> members, EndpointName suspect, EndpointControl endpoints) {
        this.members = members;
        this.suspect = suspect;
        this.endpoints = endpoints;
    }

    /** Asks the endpoints that have not promised yet, and returns whether a majority has. */
    boolean ask(long term) {
        Map<EndpointName, EndpointReport> reports = reports();
        long next = Math.max(
                        term,
                        reports.values().stream()
                                .mapToLong(EndpointReport::term)
                                .max()
                                .orElse(0))
                + 1;
        boolean stopped = ask(suspect, member -> endpoints.stepDown(member, next));
        // With the old primary stopped, the most advanced replica must stay able to receive the rest of its log.
        Optional<EndpointName> spared = stopped ? best(reports, Set.of(suspect)) : Optional.empty();
        for (EndpointName name : members.keySet()) {
            if (!isMajority() && !name.equals(suspect) && !spared.equals(Optional.of(name))) {
                ask(name, member -> endpoints.pause(member, next));
            }
        }
        return isMajority();
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

    private boolean isMajority() {
        return promises.size() >= members.size() / 2 + 1;
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
        Comparator<EndpointName> order = Comparator.comparing((EndpointName name) -> !name.equals(suspect))
                .thenComparing(name -> !members.get(name).draining())
                .thenComparing(name -> reports.get(name).received())
                .thenComparing(Comparator.reverseOrder());
        return reports.keySet().stream()
                .filter(name -> !excluded.contains(name))
                .max(order);
    }
}
