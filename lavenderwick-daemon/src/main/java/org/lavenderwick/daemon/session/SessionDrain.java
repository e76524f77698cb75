package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;

/**
 * The closing of all sessions before the daemon stops, by a {@link StopSchedule}. Confined to the traffic thread.
 *
 * <p>A session that is used without a pause ends with its next operation, which is rejected as not run: a caller whose
 * connection is closed cannot tell whether its request was executed.
 */
final class SessionDrain {

    /**
     * Time without a request after which a session is closed. The next request of a caller that uses its session all
     * the time may be on its way, and would be cut.
     */
    private static final Duration MIN_IDLE_TIME = Duration.ofMillis(200);

    /**
     * Time without a request after which a session that has had none yet is closed. Its caller has opened it for a
     * request that is still to come, and learns only then that the session is gone.
     */
    private static final Duration MIN_UNUSED_TIME = Duration.ofMillis(500);

    /**
     * Time without a new session after which the platform sends no more sessions here. Until then it may have no other
     * daemon to send them to, so the daemon serves them for as long as it accepts operations.
     */
    private static final Duration ARRIVAL_QUIET_TIME = Duration.ofMillis(400);

    private final Duration startedAt;
    private final StopSchedule schedule;
    private final DoubleSupplier random;
    private final Map<CallerConnection, Duration> closeFrom = new HashMap<>();

    /**
     * Creates a drain that begins now.
     *
     * @param startedAt the present time of the event loop
     * @param random returns numbers from 0 to 1, by which the ends of idle sessions are spread
     */
    SessionDrain(Duration startedAt, StopSchedule schedule, DoubleSupplier random) {
        this.startedAt = startedAt;
        this.schedule = schedule;
        this.random = random;
    }

    /** Returns whether operations and sessions that arrive now are rejected, and open transactions are rolled back. */
    boolean isAfterLastOperation(Duration now) {
        return isPast(schedule.lastOperation(), now);
    }

    /** Returns whether statements are no longer sent to endpoints. */
    boolean isAfterLastStart(Duration now) {
        return isPast(schedule.lastStart(), now);
    }

    /**
     * Returns whether the daemon may end if no session is open.
     *
     * @param lastArrivalAt when the last session of a caller was accepted
     */
    boolean mayEnd(Duration now, Duration lastArrivalAt) {
        return isAfterLastOperation(now)
                || (isPast(schedule.firstClose(), now)
                        && now.minus(lastArrivalAt).compareTo(ARRIVAL_QUIET_TIME) >= 0);
    }

    /** Returns whether the daemon ends now, whatever is open. */
    boolean isAtEnd(Duration now) {
        return isPast(schedule.end(), now);
    }

    /** Ends what is due by the given time. */
    void tick(Duration now, Collection<CallerConnection> sessions) {
        if (!isPast(schedule.firstClose(), now)) {
            return;
        }
        closeFrom.keySet().retainAll(sessions);
        for (CallerConnection session : List.copyOf(sessions)) {
            if (isPast(schedule.lastAnswer(), now)) {
                session.endForStop();
                continue;
            }
            if (isAfterLastStart(now)) {
                session.rejectQueued();
            }
            if (isAfterLastOperation(now)) {
                session.abortTransaction();
            }
            if (isPast(closeFrom.computeIfAbsent(session, added -> drawCloseTime()), now)) {
                session.closeIfIdle(session.isUnused() ? MIN_UNUSED_TIME : MIN_IDLE_TIME);
            }
        }
    }

    /** Callers whose sessions end at the same moment would all open new ones at the other daemons at once. */
    private Duration drawCloseTime() {
        Duration span = schedule.lastOperation().minus(schedule.firstClose());
        return schedule.firstClose().plusNanos((long) (span.toNanos() * random.getAsDouble()));
    }

    private boolean isPast(Duration time, Duration now) {
        return now.minus(startedAt).compareTo(time) >= 0;
    }
}
