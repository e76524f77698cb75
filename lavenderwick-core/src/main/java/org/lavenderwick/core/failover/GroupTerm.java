package org.lavenderwick.core.failover;

import org.lavenderwick.core.model.EndpointName;

/**
 * The primary and term of one group in the term record.
 *
 * @param primary the primary; in phase {@link TermPhase#PROMOTING}, the candidate for promotion
 * @param term the term of the latest known primary
 * @param phase the progress of a failover
 * @param fencingToken the fencing token of the failover that wrote this state; if none did, a number below the tokens
 *     of the store's era
 * @param highestRequestedTerm the highest term that a promotion request sent since may begin; {@code term} if none is
 *     known
 */
public record GroupTerm(
        EndpointName primary, long term, TermPhase phase, long fencingToken, long highestRequestedTerm) {

    /** Creates a term since which no promotion request is known. */
    public GroupTerm(EndpointName primary, long term, TermPhase phase, long fencingToken) {
        this(primary, term, phase, fencingToken, term);
    }

    /** Returns a term in phase {@link TermPhase#OPEN}. */
    public static GroupTerm open(EndpointName primary, long term, long fencingToken) {
        return new GroupTerm(primary, term, TermPhase.OPEN, fencingToken);
    }

    /** Returns this term in another phase, with the fencing token of the failover that writes it. */
    public GroupTerm withPhase(TermPhase newPhase, EndpointName primaryOrCandidate, long newFencingToken) {
        return new GroupTerm(primaryOrCandidate, term, newPhase, newFencingToken, highestRequestedTerm);
    }

    /** Returns this term with promotion requests that may begin terms up to the given one. */
    public GroupTerm withRequestedTerm(long requestedTerm) {
        return new GroupTerm(primary, term, phase, fencingToken, Math.max(highestRequestedTerm, requestedTerm));
    }

    /** Returns whether this state was written after another one of the same group. */
    boolean isLaterThan(GroupTerm other) {
        if (fencingToken != other.fencingToken) {
            return fencingToken > other.fencingToken;
        }
        return phase != other.phase
                ? phase.progress() > other.phase.progress()
                : highestRequestedTerm > other.highestRequestedTerm;
    }

    // Written out for the reason given at GroupName.
    @Override
    public boolean equals(Object other) {
        return other instanceof GroupTerm that
                && that.primary.equals(primary)
                && that.term == term
                && that.phase.equals(phase)
                && that.fencingToken == fencingToken
                && that.highestRequestedTerm == highestRequestedTerm;
    }

    @Override
    public int hashCode() {
        return 31 * primary.hashCode() + Long.hashCode(term);
    }
}
