package org.lavenderwick.core.failover;

import org.lavenderwick.core.catalog.EndpointRole;
import org.lavenderwick.core.model.LogPoint;

/**
 * The state of an endpoint as reported by the endpoint itself.
 *
 * @param role its role; a replaced primary may still report to be the primary
 * @param term the term in which it is the primary or whose primary it follows
 * @param received the newest log position that it has received, whether applied or not
 * @param promisedTerm the highest term for which it has given a promise; 0 if there is none
 */
public record EndpointReport(EndpointRole role, long term, LogPoint received, long promisedTerm) {

    /** Returns whether the endpoint is the primary of its term and has given no promise for a later term. */
    public boolean leads() {
        return role == EndpointRole.PRIMARY && promisedTerm <= term;
    }

    /** Returns whether the endpoint is a replica whose term and promises are not above the given term. */
    public boolean follows(long leaderTerm) {
        return role == EndpointRole.REPLICA && term <= leaderTerm && promisedTerm <= leaderTerm;
    }
}
