package org.lavenderwick.core.failover;

import java.time.Duration;

import org.lavenderwick.core.model.EndpointName;

/**
 * The primary of a group, with the time up to which evidence proves that it had not been replaced.
 *
 * @param primary the endpoint
 * @param term its term
 * @param provenAt latest time at which no later term is known to have begun, on the daemon's monotonic clock
 */
public record ProvenPrimary(EndpointName primary, long term, Duration provenAt) {

    /**
     * Returns whether the other instance has the same primary and term. Comparing the primary alone is not enough,
     * because an endpoint may become the primary again in a later term.
     */
    public boolean isSameTerm(ProvenPrimary other) {
        return term == other.term && primary.equals(other.primary);
    }

    /** Returns the one with the later term or, for the same term, with the later evidence. */
    public static ProvenPrimary newer(ProvenPrimary first, ProvenPrimary second) {
        if (first.term != second.term) {
            return first.term > second.term ? first : second;
        }
        return first.provenAt.compareTo(second.provenAt) >= 0 ? first : second;
    }

    // Written out for the reason given at GroupName.
    @Override
    public boolean equals(Object other) {
        return other instanceof ProvenPrimary that
                && that.primary.equals(primary)
                && that.term == term
                && that.provenAt.equals(provenAt);
    }

    @Override
    public int hashCode() {
        return 31 * primary.hashCode() + Long.hashCode(term);
    }
}
