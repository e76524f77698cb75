package org.lavenderwick.core.routing;

import java.util.Optional;

import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

/** Rejects the reads of a session if a failover discarded the session's latest write. */
final class SessionWriteCheck {

    private static final RoutingDecision WRITE_LOST = new RoutingDecision.Reject(Failure.of(
            ErrorKind.SESSION_WRITE_LOST,
            "A failover dropped a write of this session, or it cannot be shown to remain."));

    private SessionWriteCheck() {}

    /** Returns a rejection if the latest write seen by the session is no longer known to be in the log. */
    static Optional<RoutingDecision> rejectIfWriteLost(ReadRequirements requirements) {
        return requirements
                .minimumPoint()
                .filter(point -> !TermHistory.isRetained(point, requirements.termStarts()))
                .map(point -> WRITE_LOST);
    }
}
