package org.lavenderwick.core.failover;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.vavr.control.Either;
import org.lavenderwick.core.catalog.EndpointRole;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreChange;

/**
 * The policy of groups with synchronous replication: an endpoint is promoted only if it has every acknowledged commit.
 * Either the old primary was demoted and the endpoint has received its whole log, or the endpoint has the newest log
 * among replicas that together meet the {@link SyncRequirement}. There is no time limit after which less suffices.
 */
final class SyncCandidatePolicy implements CandidatePolicy {

    /** The log whose last entry is of the later term is newer, whichever is longer. */
    private static final Comparator<EndpointReport> BY_LOG = Comparator.comparing(EndpointReport::received);

    private final FailoverTimings timings;
    private final SyncRequirement requirement;
    private final FleetStore store;

    SyncCandidatePolicy(FailoverTimings timings, SyncRequirement requirement, FleetStore store) {
        this.timings = timings;
        this.requirement = requirement;
        this.store = store;
    }

    @Override
    public Decision choose(Situation situation) {
        PromiseRound promises = situation.promises();
        Map<EndpointName, EndpointReport> reports = situation.reports();
        boolean mayWait = situation.waited().compareTo(timings.catchUpTimeout()) < 0;
        Optional<EndpointName> demoted = promises.demotedPrimary(reports);
        Set<EndpointName> complete = new HashSet<>(withLogOfDemoted(situation));
        if (complete.stream().allMatch(name -> promises.isOldPrimary(name) || isRefused(name, situation))) {
            if (demoted.isPresent() && mayWait) {
                return Decision.without(Action.POLL, "no replica has received the whole log of " + demoted.get());
            }
            promises.pauseReplicas(situation.now());
            Either<Failure, Set<EndpointName>> newest = newestIfCovered(situation);
            if (newest.isLeft()) {
                return Decision.without(Action.RETRY, newest.getLeft().detail());
            }
            complete.addAll(newest.get());
        }
        complete.removeIf(name -> !promises.mayPromote(name, reports));
        boolean awaitsEligibility = !complete.isEmpty();
        complete.retainAll(situation.eligible());
        Optional<EndpointName> inherited = situation.inheritedCandidate();
        if (inherited.isPresent() && !complete.contains(inherited.get()) && mayWait) {
            return Decision.without(
                    Action.POLL, inherited.get() + ", which an earlier run chose, may lack acknowledged commits");
        }
        Comparator<EndpointName> preference = Comparator.comparing(
                        (EndpointName name) -> inherited.equals(Optional.of(name)))
                .thenComparing(name -> !promises.isOldPrimary(name))
                .thenComparing(name -> !promises.member(name).draining())
                .thenComparing(reports::get, BY_LOG)
                .thenComparing(Comparator.reverseOrder());
        return complete.stream()
                .filter(name -> !isRefused(name, situation))
                .max(preference)
                .map(Decision::promote)
                .orElseGet(() -> Decision.without(
                        complete.isEmpty() && !awaitsEligibility ? Action.RESTART : Action.RETRY,
                        "no endpoint that can be promoted is known to have every acknowledged commit"));
    }

    private static boolean isRefused(EndpointName name, Situation situation) {
        return situation.refused().contains(name);
    }

    /**
     * Returns the endpoints that have received the whole log of the old primary; empty unless it was demoted. An old
     * primary that is behind a replica has lost its log in a restart, so its position says nothing.
     */
    private Set<EndpointName> withLogOfDemoted(Situation situation) {
        Map<EndpointName, EndpointReport> reports = situation.reports();
        EndpointReport demoted =
                situation.promises().demotedPrimary(reports).map(reports::get).orElse(null);
        if (demoted == null || reports.values().stream().anyMatch(report -> BY_LOG.compare(report, demoted) > 0)) {
            return Set.of();
        }
        Set<EndpointName> complete = new HashSet<>(reports.keySet());
        complete.removeIf(name -> reports.get(name).role() != EndpointRole.REPLICA
                || reports.get(name).received().compareTo(demoted.received()) < 0);
        return complete;
    }

    /**
     * Returns the paused replicas with the newest log if they meet the requirement, and none otherwise. The store says
     * in which incarnations they run, because a replica may have restarted after the directory was read.
     */
    private Either<Failure, Set<EndpointName>> newestIfCovered(Situation situation) {
        Map<EndpointName, EndpointReport> reports = situation.reports();
        Set<EndpointName> paused = situation.promises().pausedReplicas(reports);
        Set<EndpointIncarnation> heard = new HashSet<>();
        for (EndpointName name : paused) {
            Either<Failure, Optional<StoreChange.EndpointChanged>> registered = store.readEndpoint(name);
            if (registered.isLeft()) {
                return Either.left(registered.getLeft());
            }
            registered
                    .get()
                    .ifPresent(entry -> heard.add(
                            new EndpointIncarnation(name, entry.version().startedAt())));
        }
        if (paused.isEmpty() || !requirement.isCoveredBy(heard)) {
            return Either.right(Set.of());
        }
        EndpointReport newest = paused.stream().map(reports::get).max(BY_LOG).orElseThrow();
        Set<EndpointName> complete = new HashSet<>(paused);
        complete.removeIf(name -> BY_LOG.compare(reports.get(name), newest) < 0);
        return Either.right(complete);
    }
}
