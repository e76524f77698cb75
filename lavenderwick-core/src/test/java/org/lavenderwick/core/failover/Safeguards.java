package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.Set;

/**
 * The safeguards of the failover protocol that a simulation applies.
 *
 * @param timings the timings of failovers; daemons always use the default timings for evidence
 * @param disabled the safeguards that are switched off
 */
record Safeguards(FailoverTimings timings, Set<Safeguard> disabled) {

    static Safeguards all() {
        return new Safeguards(FailoverTimings.DEFAULTS, Set.of());
    }

    static Safeguards without(Safeguard safeguard) {
        return new Safeguards(FailoverTimings.DEFAULTS, Set.of(safeguard));
    }

    /** Returns the timings by which failovers decide which endpoints they promote. */
    FailoverTimings failoverTimings() {
        return has(Safeguard.CANDIDATE_ELIGIBILITY) ? timings : withMembershipMaxAge(timings, Duration.ZERO);
    }

    /** Returns the record of the promotion requests of a failover. */
    PromotionRequests promotionRequests() {
        return new PromotionRequests() {
            @Override
            boolean mayHaveBegunTerm() {
                return has(Safeguard.PROMISES_AFTER_REQUESTS) && super.mayHaveBegunTerm();
            }

            @Override
            long highestTerm() {
                return has(Safeguard.REQUESTED_TERMS) ? super.highestTerm() : closedTerm();
            }

            @Override
            boolean isLatestKnown() {
                return !has(Safeguard.UNKNOWN_REQUESTS) || super.isLatestKnown();
            }
        };
    }

    /** Returns the timings by which endpoints become members. */
    FailoverTimings membershipTimings() {
        return has(Safeguard.ESTABLISHMENT_DELAY) ? timings : withMembershipMaxAge(timings, Duration.ZERO);
    }

    /** Returns the timings by which evidence from the endpoints expires. */
    FailoverTimings evidenceTimings() {
        return has(Safeguard.MEMBERSHIP_AGE) ? timings : withMembershipMaxAge(timings, Duration.ofDays(1));
    }

    static FailoverTimings withMembershipMaxAge(FailoverTimings timings, Duration membershipMaxAge) {
        return new FailoverTimings(
                timings.evidenceMaxAge(),
                timings.promiseMaxAge(),
                timings.clockMargin(),
                timings.lockTtl(),
                timings.retryDelay(),
                timings.promiseTimeout(),
                timings.promiseGracePeriod(),
                timings.catchUpTimeout(),
                membershipMaxAge);
    }

    boolean has(Safeguard safeguard) {
        return !disabled.contains(safeguard);
    }
}
