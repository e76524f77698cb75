package org.lavenderwick.core.routing;

import java.util.Optional;

import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

/** Refuses reads of sessions whose newest write a failover dropped. */
final class SessionWriteCheck {

    private static final RoutingDecision LOST = new RoutingDecision.Reject(Failure.of(
            ErrorKind.SESSION_WRITE_LOST,
            "A failover dropped a write of this session, or it cannot be shown to remain."));

    private SessionWriteCheck() {}

    static Optional<RoutingDecision> rejectIfWriteLost(ReadRequirements needs) {
        return needs.minimumPoint()
                .filter(point -> !TermHistory.isRetained(point, needs.termStarts()))
                .map(point -> LOST);
    }
}
