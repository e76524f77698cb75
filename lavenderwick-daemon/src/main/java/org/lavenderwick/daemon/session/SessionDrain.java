package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.Collection;
import java.util.List;

/** The gradual closing of all sessions before the daemon stops. */
final class SessionDrain {

    private final Duration closeIdleFrom;
    private final Duration abortFrom;

    /**
     * Creates a drain.
     *
     * @param closeIdleFrom monotonic time from which sessions without a running statement or transaction are closed; by
     *     then, callers open new sessions at other daemons
     * @param abortFrom monotonic time from which open transactions are rolled back
     */
    SessionDrain(Duration closeIdleFrom, Duration abortFrom) {
        this.closeIdleFrom = closeIdleFrom;
        this.abortFrom = abortFrom;
    }

    /** Closes the sessions that may be closed at the given time. */
    void tick(Duration now, Collection<CallerConnection> sessions) {
        if (now.compareTo(closeIdleFrom) < 0) {
            return;
        }
        for (CallerConnection session : List.copyOf(sessions)) {
            if (now.compareTo(abortFrom) >= 0) {
                session.abortTransaction();
            }
            session.closeIfIdle();
        }
    }
}
