package org.lavenderwick.core.failover;

import org.lavenderwick.core.model.EndpointName;

/**
 * The recorded term of one group.
 *
 * @param primary the primary, or the candidate while one is being promoted
 * @param term the term of the last known primary
 * @param phase how far a replacement has come
 * @param fencingToken the token of the daemon that wrote this state
 */
public record GroupTerm(EndpointName primary, long term, TermPhase phase, long fencingToken) {

    /** Returns a term whose primary serves. */
    public static GroupTerm open(EndpointName primary, long term, long fencingToken) {
        return new GroupTerm(primary, term, TermPhase.OPEN, fencingToken);
    }

    /** Returns this term in another phase, written by the holder of a token. */
    public GroupTerm withPhase(TermPhase next, EndpointName primaryOrCandidate, long token) {
        return new GroupTerm(primaryOrCandidate, term, next, token);
    }
}
