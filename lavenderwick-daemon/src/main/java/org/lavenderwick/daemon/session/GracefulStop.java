package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.random.RandomGenerator;

import org.jboss.logging.Logger;

/**
 * The graceful stop of the session interface, from its beginning to the end of the event loop. Confined to the traffic
 * thread.
 *
 * <p>The decision to end is made here, on the thread that accepts connections and sends statements, after every
 * connection that has arrived was accepted. So no statement is sent to an endpoint after the decision, and a session
 * counts as open from the moment it is accepted until its last answer is sent. A decision on another thread would not
 * see the sessions that arrive while it is made, and their requests would be cut.
 */
final class GracefulStop {

    private static final Logger LOG = Logger.getLogger(GracefulStop.class);

    private final EventLoop loop;
    private final RandomGenerator random;
    private final List<Acceptor> sessionAcceptors = new ArrayList<>();
    private Duration lastArrivalAt;
    private SessionDrain drain;
    private boolean ended;

    /** Creates a stop that has not begun. */
    GracefulStop(EventLoop loop, RandomGenerator random) {
        this.loop = loop;
        this.random = random;
        this.lastArrivalAt = loop.now();
    }

    /** Adds a listening socket on which sessions arrive. */
    void addSessionAcceptor(Acceptor acceptor) {
        sessionAcceptors.add(acceptor);
    }

    /** Begins to close all sessions; has no effect if the stop has begun already. */
    void begin(StopSchedule schedule) {
        if (drain == null) {
            drain = new SessionDrain(loop.now(), schedule, random::nextDouble);
        }
    }

    /** Returns whether the stop has begun. */
    boolean hasBegun() {
        return drain != null;
    }

    /** Records that a session of a caller was accepted. */
    void onSessionArrived() {
        lastArrivalAt = loop.now();
    }

    /** Returns whether operations and sessions that arrive now are rejected. */
    boolean rejectsOperations() {
        return drain != null && drain.isAfterLastOperation(loop.now());
    }

    /**
     * Ends the sessions that are due, and stops the event loop once the daemon may end.
     *
     * @param sessions the open sessions, which this method does not change itself
     */
    void tick(Duration now, Collection<CallerConnection> sessions) {
        if (drain == null || ended) {
            return;
        }
        drain.tick(now, sessions);
        if (drain.isAtEnd(now) || (drain.mayEnd(now, lastArrivalAt) && closeIfUnused(sessions))) {
            LOG.infof(
                    "[daemon] Drain ended with %d open sessions, the last of which arrived %d ms ago; stopping.",
                    sessions.size(), now.minus(lastArrivalAt).toMillis());
            ended = true;
            loop.stop();
        }
    }

    /**
     * Closes the listening sockets if no session is open, not even one that has just arrived, and every answer is sent.
     *
     * @return whether it did
     */
    private boolean closeIfUnused(Collection<CallerConnection> sessions) {
        if (!isUnused(sessions)) {
            return false;
        }
        sessionAcceptors.forEach(Acceptor::acceptArrived);
        if (!isUnused(sessions)) {
            return false;
        }
        sessionAcceptors.forEach(Acceptor::close);
        return true;
    }

    private boolean isUnused(Collection<CallerConnection> sessions) {
        return sessions.isEmpty() && !loop.hasClosingConnections();
    }
}
