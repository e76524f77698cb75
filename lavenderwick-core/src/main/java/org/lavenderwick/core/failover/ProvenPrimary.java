package org.lavenderwick.core.failover;

import java.time.Duration;

import org.lavenderwick.core.model.EndpointName;

/**
 * The primary of a group and the age of the evidence for it.
 *
 * @param primary the endpoint
 * @param term the term that it leads
 * @param provenAt latest time at which it is known that no later term had begun, on the daemon's monotonic clock
 */
public record ProvenPrimary(EndpointName primary, long term, Duration provenAt) {

    /** Returns whether another view names the same primary in the same term; a primary may come back in a later one. */
    public boolean isSameTerm(ProvenPrimary other) {
        return term == other.term && primary.equals(other.primary);
    }

    /** Returns the view with the later term, or with the later evidence for the same term. */
    public static ProvenPrimary newer(ProvenPrimary first, ProvenPrimary second) {
        if (first.term != second.term) {
            return first.term > second.term ? first : second;
        }
        return first.provenAt.compareTo(second.provenAt) >= 0 ? first : second;
    }
}
