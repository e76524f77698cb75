package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.store.FleetStore;

/** The choice of the endpoint to promote, after the promises have been collected and all evidence has expired. */
interface CandidatePolicy {

    /** What a failover does next. */
    enum Action {
        /** Promote the candidate. */
        PROMOTE,
        /** Look at the endpoints again soon, because the candidate is still receiving the log. */
        POLL,
        /** Try again after the usual delay, with candidates whose promotion was refused before. */
        RETRY,
        /** Collect the promises again, because those at hand are lost or do not suffice. */
        RESTART
    }

    /**
     * A decision.
     *
     * @param candidate the endpoint to promote; empty unless the action is {@link Action#PROMOTE}
     * @param cause why no endpoint is promoted now; empty otherwise
     */
    record Decision(Action action, Optional<EndpointName> candidate, String cause) {

        static Decision promote(EndpointName candidate) {
            return new Decision(Action.PROMOTE, Optional.of(candidate), "");
        }

        static Decision without(Action action, String cause) {
            return new Decision(action, Optional.empty(), cause);
        }
    }

    /**
     * The situation of a failover.
     *
     * @param promises the promises of the endpoints
     * @param reports the present state of the endpoints that respond
     * @param earlierCandidate a candidate that another run recorded, which may still be promoted
     * @param eligible the endpoints that {@link CandidateEligibility} admits
     * @param refused the candidates whose promotion was refused
     * @param waited time since all evidence has expired
     * @param now the present time
     */
    record Situation(
            PromiseRound promises,
            Map<EndpointName, EndpointReport> reports,
            Optional<EndpointName> earlierCandidate,
            Set<EndpointName> eligible,
            Set<EndpointName> refused,
            Duration waited,
            Duration now) {

        /** Returns the candidate of another run unless its promotion was refused. */
        Optional<EndpointName> inheritedCandidate() {
            return earlierCandidate.filter(name -> !refused.contains(name));
        }
    }

    /** Returns the policy of a group with the given requirement. */
    static CandidatePolicy of(FailoverTimings timings, SyncRequirement requirement, FleetStore store) {
        return requirement.isSynchronous()
                ? new SyncCandidatePolicy(timings, requirement, store)
                : new AsyncCandidatePolicy(timings);
    }

    /** Returns what to do in a situation in which no endpoint leads a later term. */
    Decision choose(Situation situation);
}
