package org.lavenderwick.core.failover;

import java.util.Optional;
import java.util.Set;

import com.google.common.collect.Sets;
import org.lavenderwick.core.model.EndpointName;

/** The policy of groups whose commits are acknowledged without waiting for replicas: the newest reachable log. */
final class AsyncCandidatePolicy implements CandidatePolicy {

    private final FailoverTimings timings;

    AsyncCandidatePolicy(FailoverTimings timings) {
        this.timings = timings;
    }

    @Override
    public Decision choose(Situation situation) {
        PromiseRound promises = situation.promises();
        // An earlier candidate may still become the primary; another is eligible only after a refused promotion.
        Set<EndpointName> excluded = Sets.union(
                situation.refused(), Sets.difference(situation.reports().keySet(), situation.eligible()));
        Optional<EndpointName> best =
                situation.inheritedCandidate().or(() -> promises.bestCandidate(situation.reports(), excluded));
        if (best.isEmpty()) {
            return Decision.without(Action.RETRY, "no endpoint can be promoted");
        }
        if (situation.reports().containsKey(best.get()) && !situation.eligible().contains(best.get())) {
            return Decision.without(Action.RETRY, best.get() + " joined too recently to be promoted");
        }
        boolean mayWait = situation.waited().compareTo(timings.catchUpTimeout()) < 0;
        if (mayWait && promises.isBehindOldPrimary(best.get(), situation.reports())) {
            return Decision.without(Action.POLL, best.get() + " has not received the whole log");
        }
        return promises.mayPromote(best.get(), situation.reports())
                ? Decision.promote(best.get())
                : Decision.without(Action.RESTART, best.get() + " has lost its promise");
    }
}
