package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.Collection;
import java.util.List;

/** Ends the sessions of a daemon that stops. */
final class Draining {

    private final Duration closeFrom;
    private final Duration abortFrom;

    /**
     * Creates the end of all sessions.
     *
     * @param closeFrom when sessions with nothing open begin to be closed; by then new ones go to other daemons
     * @param abortFrom when transactions that are still open are rolled back
     */
    Draining(Duration closeFrom, Duration abortFrom) {
        this.closeFrom = closeFrom;
        this.abortFrom = abortFrom;
    }

    void tick(Duration now, Collection<CallerConnection> sessions) {
        if (now.compareTo(closeFrom) < 0) {
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
