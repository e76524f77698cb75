package org.lavenderwick.core.failover;

import org.lavenderwick.core.catalog.EndpointRole;
import org.lavenderwick.core.model.LogPoint;

/**
 * What an endpoint says of itself.
 *
 * @param role its role in its own view
 * @param term the term that it leads or follows
 * @param received newest position that it has received, applied or not
 * @param promisedTerm the highest term that it was asked to make way for; 0 for none
 */
public record EndpointReport(EndpointRole role, long term, LogPoint received, long promisedTerm) {

    /** Returns whether the endpoint leads a term and has not been asked to make way for a later one. */
    public boolean leads() {
        return role == EndpointRole.PRIMARY && promisedTerm <= term;
    }

    /** Returns whether the endpoint is a replica that knows of no term above the given one and made way for none. */
    public boolean follows(long leaderTerm) {
        return role == EndpointRole.REPLICA && term <= leaderTerm && promisedTerm <= leaderTerm;
    }
}
