package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import com.google.common.collect.ImmutableSet;
import io.vavr.control.Either;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.catalog.EndpointRole;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;

/** The collection of promises from the endpoints of one group during a failover. */
final class PromiseRound {

    /** A promise, as the endpoint confirmed it, and when it did. */
    private record Promise(EndpointReport report, Duration since) {}

    private final Map<EndpointName, EndpointEntry> members;
    private final Optional<EndpointName> oldPrimary;
    private final EndpointControl endpoints;

    /** The highest term that a promotion request may have begun unseen; 0 if none may have. */
    private final long highestRequestedTerm;

    private final Map<EndpointName, Promise> promises = new HashMap<>();
    private long promisedTerm;
    private long closedTerm;
    private String cause = "";

    private PromiseRound(
            Map<EndpointName, EndpointEntry> members,
            Optional<EndpointName> oldPrimary,
            EndpointControl endpoints,
            long highestRequestedTerm) {
        this.members = members;
        this.oldPrimary = oldPrimary;
        this.endpoints = endpoints;
        this.highestRequestedTerm = highestRequestedTerm;
    }

    /** Returns a round that first tries to demote the given old primary. */
    static PromiseRound of(
            Map<EndpointName, EndpointEntry> members, EndpointName oldPrimary, EndpointControl endpoints) {
        return new PromiseRound(members, Optional.of(oldPrimary), endpoints, 0);
    }

    /**
     * Returns a round without promises. The old primary stays the same unless an endpoint that does not respond may
     * have been promoted: to demote the old primary does not end the evidence for that one. Then all members have to
     * promise, for a later term than any that may have begun, and those that lead are demoted in addition.
     */
    PromiseRound restarted(PromotionRequests requests) {
        return requests.mayHaveBegunTerm()
                ? new PromiseRound(members, Optional.empty(), endpoints, requests.highestTerm())
                : new PromiseRound(members, oldPrimary, endpoints, 0);
    }

    /**
     * Requests the missing promises. If the old primary can be demoted, its promise suffices and the replicas continue
     * to receive the rest of its log. Otherwise the replicas stop receiving the log.
     *
     * @return whether all required promises have been given
     */
    boolean requestMissing(long term, Duration now) {
        Map<EndpointName, EndpointReport> reports = requestReports();
        chooseTerm(term, reports);
        boolean demoted = oldPrimary
                .filter(name -> isPrimaryOfNewestTerm(name, reports))
                .filter(name -> demote(name, now))
                .isPresent();
        return demoted || pauseReplicas(now);
    }

    /**
     * Requests the missing promises like {@link #requestMissing}, after discarding those that their endpoints no longer
     * confirm. An old primary that is a replica already is demoted again, so that its log counts as final, unless a
     * later term has begun: its primary, which may not respond, then acknowledges commits.
     *
     * @return whether all required promises have been given and confirmed
     */
    boolean renew(long term, Map<EndpointName, EndpointReport> reports, Duration now) {
        closedTerm = term;
        promises.keySet().removeIf(name -> !isKept(name, reports));
        chooseTerm(term, reports);
        boolean demoted = oldPrimary
                .filter(name -> newestTerm(reports) <= term)
                .filter(name -> isPrimaryOfNewestTerm(name, reports) || isReplica(name, reports))
                .filter(name -> demote(name, now))
                .isPresent();
        boolean complete = demoted || pauseReplicas(now);
        promises.entrySet()
                .removeIf(entry -> !isOldPrimary(entry.getKey())
                        && entry.getValue().report().promisedTerm() < promisedTerm);
        return complete;
    }

    private void chooseTerm(long term, Map<EndpointName, EndpointReport> reports) {
        if (promises.isEmpty()) {
            promisedTerm = Math.max(Math.max(term, highestRequestedTerm), newestTerm(reports)) + 1;
        }
    }

    /** Returns the term for which the endpoints promise. */
    long promisedTerm() {
        return promisedTerm;
    }

    private boolean demote(EndpointName name, Duration now) {
        return requestPromise(name, member -> endpoints.stepDown(member, promisedTerm), now);
    }

    /** Requests the missing promises of the replicas to stop receiving the log; returns whether all have given one. */
    boolean pauseReplicas(Duration now) {
        for (EndpointName name : members.keySet()) {
            if (!isOldPrimary(name)) {
                requestPromise(name, this::pause, now);
            }
        }
        long expected =
                members.keySet().stream().filter(name -> !isOldPrimary(name)).count();
        return expected > 0 && promises.size() >= expected;
    }

    /** Pauses a member; one that leads is demoted in between if it may have been replaced unseen. */
    private Either<Failure, EndpointReport> pause(EndpointEntry member) {
        Either<Failure, EndpointReport> paused = endpoints.pauseReplication(member, promisedTerm);
        boolean leads = paused.isRight() && paused.get().role() == EndpointRole.PRIMARY;
        return leads && mayHaveUnseenPrimary()
                ? endpoints
                        .stepDown(member, promisedTerm)
                        .flatMap(demoted -> endpoints.pauseReplication(member, promisedTerm))
                : paused;
    }

    private boolean mayHaveUnseenPrimary() {
        return highestRequestedTerm > 0;
    }

    private static boolean isReplica(EndpointName name, Map<EndpointName, EndpointReport> reports) {
        EndpointReport report = reports.get(name);
        return report != null && report.role() == EndpointRole.REPLICA;
    }

    /** Returns whether an endpoint has promised and its newest report confirms that. */
    private boolean isKept(EndpointName name, Map<EndpointName, EndpointReport> reports) {
        EndpointReport report = reports.get(name);
        return promises.containsKey(name)
                && report != null
                && (isOldPrimary(name)
                        ? isReplica(name, reports) && newestTerm(reports) <= closedTerm
                        : report.promisedTerm() >= promisedTerm);
    }

    /** Returns the replicas whose newest reports confirm their promises to receive no more of the log. */
    Set<EndpointName> pausedReplicas(Map<EndpointName, EndpointReport> reports) {
        return reports.keySet().stream()
                .filter(name -> !isOldPrimary(name) && isKept(name, reports))
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the old primary if it has been demoted and its newest report confirms that. */
    Optional<EndpointName> demotedPrimary(Map<EndpointName, EndpointReport> reports) {
        return oldPrimary.filter(name -> isKept(name, reports));
    }

    /** Returns the replicas that have promised to receive no more of the log, as the directory knows them. */
    Set<EndpointIncarnation> promisedReplicas(GroupDirectory directory) {
        return promises.keySet().stream()
                .filter(name -> !isOldPrimary(name) && directory.members().containsKey(name))
                .map(directory::incarnation)
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns whether the old primary has been demoted. */
    boolean isOldPrimaryDemoted() {
        return oldPrimary.filter(promises::containsKey).isPresent();
    }

    /** Returns when the first of the promises was given; empty if there is none. */
    Optional<Duration> firstPromisedAt() {
        return promises.values().stream().map(Promise::since).min(Duration::compareTo);
    }

    /**
     * Returns whether the endpoint is the primary of the newest reported term. Demoting any other primary is useless,
     * as a late promotion may have begun a newer term elsewhere.
     */
    private static boolean isPrimaryOfNewestTerm(EndpointName name, Map<EndpointName, EndpointReport> reports) {
        EndpointReport report = reports.get(name);
        return report != null && report.role() == EndpointRole.PRIMARY && report.term() == newestTerm(reports);
    }

    /** Returns whether any endpoint has given its promise. */
    boolean hasAny() {
        return !promises.isEmpty();
    }

    /** Sends the command unless the endpoint has given its promise, and returns whether it has by then. */
    private boolean requestPromise(
            EndpointName name, Function<EndpointEntry, Either<Failure, EndpointReport>> command, Duration now) {
        EndpointEntry member = members.get(name);
        if (member == null) {
            return false;
        }
        if (!promises.containsKey(name)) {
            command.apply(member)
                    .peek(report -> promises.put(name, new Promise(report, now)))
                    .peekLeft(failure -> cause = failure.detail());
        }
        return promises.containsKey(name);
    }

    private static long newestTerm(Map<EndpointName, EndpointReport> reports) {
        return reports.values().stream().mapToLong(EndpointReport::term).max().orElse(0);
    }

    /**
     * Returns whether an endpoint may be promoted: no later term has begun, and either the old primary is still demoted
     * or the endpoint still has its promise, which it forgets when it restarts.
     */
    boolean mayPromote(EndpointName candidate, Map<EndpointName, EndpointReport> reports) {
        boolean demoted = isOldPrimaryReplica(reports);
        EndpointReport report = reports.get(candidate);
        boolean hasPromise = report != null
                && report.promisedTerm() >= promisedTerm
                && (report.role() == EndpointRole.REPLICA || !mayHaveUnseenPrimary());
        return newestTerm(reports) < promisedTerm && (demoted || hasPromise);
    }

    /** Returns whether the old primary has been demoted and reports to be a replica. */
    boolean isOldPrimaryReplica(Map<EndpointName, EndpointReport> reports) {
        return oldPrimary
                .filter(promises::containsKey)
                .filter(name -> isReplica(name, reports))
                .isPresent();
    }

    boolean isOldPrimary(EndpointName name) {
        return oldPrimary.equals(Optional.of(name));
    }

    /** Returns an endpoint that is the primary of a term above the given one; empty if there is none. */
    Optional<EndpointName> primaryOfLaterTerm(Map<EndpointName, EndpointReport> reports, long term) {
        return reports.entrySet().stream()
                .filter(entry -> entry.getValue().role() == EndpointRole.PRIMARY)
                .filter(entry -> entry.getValue().term() > term)
                .map(Map.Entry::getKey)
                .findFirst();
    }

    /**
     * Returns the endpoint that leads a later term than the closed one, if no other endpoint can lead a newer one: no
     * endpoint that responds knows a later term or has given a promise for one, and the endpoint is the latest
     * candidate or all endpoints respond. Promises are not needed then, and would keep the replicas from receiving its
     * log.
     */
    Optional<EndpointName> primaryOfNewestTerm(Map<EndpointName, EndpointReport> reports, PromotionRequests requests) {
        boolean isEveryLeaderKnown =
                requests.isLatestKnown() || reports.keySet().containsAll(members.keySet());
        return primaryOfLaterTerm(reports, requests.closedTerm())
                .filter(name -> reports.get(name).leads())
                .filter(name -> requests.latestCandidate().stream().allMatch(name::equals))
                .filter(name -> isEveryLeaderKnown)
                .filter(name -> reports.values().stream()
                        .allMatch(report -> Math.max(report.term(), report.promisedTerm())
                                <= reports.get(name).term()));
    }

    /** Returns whether the old primary has log entries that the candidate has not received yet. */
    boolean isBehindOldPrimary(EndpointName candidate, Map<EndpointName, EndpointReport> reports) {
        return oldPrimary
                .filter(name -> !name.equals(candidate) && reports.containsKey(candidate))
                .map(reports::get)
                .filter(old -> old.received().compareTo(reports.get(candidate).received()) > 0)
                .isPresent();
    }

    /** Returns the reason of the latest request for a promise that failed; empty if none has failed. */
    String cause() {
        return cause;
    }

    /** Requests the state of all endpoints. The result lacks the endpoints that do not respond. */
    Map<EndpointName, EndpointReport> requestReports() {
        Map<EndpointName, EndpointReport> reports = new HashMap<>();
        members.forEach((name, member) -> endpoints.status(member).peek(report -> reports.put(name, report)));
        return reports;
    }

    /** Returns whether an endpoint still has the log that it reported before; it may have restarted without it. */
    boolean hasKeptLog(EndpointName name, EndpointReport before) {
        Either<Failure, EndpointReport> report = endpoints.status(members.get(name));
        return before != null && report.isRight() && report.get().received().compareTo(before.received()) >= 0;
    }

    /** Returns the entry of a member. */
    EndpointEntry member(EndpointName name) {
        return members.get(name);
    }

    /**
     * Returns the best candidate; empty if there is none. Prefers any other endpoint to the old primary, then endpoints
     * that are not draining, then the newest log position.
     */
    Optional<EndpointName> bestCandidate(Map<EndpointName, EndpointReport> reports, Set<EndpointName> excluded) {
        Comparator<EndpointName> preference = Comparator.comparing((EndpointName name) -> !isOldPrimary(name))
                .thenComparing(name -> !members.get(name).draining())
                .thenComparing(name -> reports.get(name).received())
                .thenComparing(Comparator.reverseOrder());
        return reports.keySet().stream()
                .filter(name -> !excluded.contains(name))
                .max(preference);
    }
}
