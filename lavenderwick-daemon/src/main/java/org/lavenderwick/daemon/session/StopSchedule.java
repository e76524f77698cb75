package org.lavenderwick.daemon.session;

import java.time.Duration;

import com.google.common.collect.Comparators;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The times of a graceful stop of the session interface, each counted from its beginning, at which the daemon reports
 * that it is not ready. They follow each other in the order of the components.
 *
 * @param firstClose from then on sessions without a statement or transaction are closed; by then, callers open new
 *     sessions at other daemons
 * @param lastOperation from then on operations and sessions that arrive are rejected as not run, and open transactions
 *     are rolled back; the rest of the time is for operations that have begun
 * @param lastStart from then on statements are no longer sent to endpoints; those that wait are rejected as not run
 * @param lastAnswer from then on callers whose statements are still running are told so, and their sessions are closed
 * @param end the end of the process
 */
public record StopSchedule(
        Duration firstClose, Duration lastOperation, Duration lastStart, Duration lastAnswer, Duration end) {

    /** Time in which the platform notices that a daemon is not ready, and directs new sessions to other daemons. */
    private static final Duration ROTATION_EXIT_DELAY = Duration.ofMillis(2400);

    /** Time between the end of the process and the moment at which the platform ends it by force. */
    private static final Duration RESERVE = Duration.ofMillis(600);

    /** Time for a statement that is sent to an endpoint at the last moment. */
    private static final Duration STATEMENT_TIME = Duration.ofSeconds(1);

    /** Time for the last answers to be sent. */
    private static final Duration ANSWER_TIME = Duration.ofMillis(200);

    /**
     * Returns the schedule for a stop. If it must be shorter than usual, all of its times are.
     *
     * @param stopTime time from the beginning of the stop until the process is ended by force
     * @throws IllegalArgumentException if {@code stopTime} is not positive
     */
    public static StopSchedule of(Duration stopTime) {
        checkArgument(stopTime.compareTo(Duration.ZERO) > 0, "stop time %s must be positive", stopTime);
        Duration half = stopTime.dividedBy(2);
        Duration end = stopTime.minus(Comparators.min(RESERVE, stopTime.dividedBy(4)));
        Duration lastAnswer = end.minus(Comparators.min(ANSWER_TIME, stopTime.dividedBy(20)));
        Duration lastStart = Comparators.max(half, end.minus(STATEMENT_TIME));
        Duration firstClose =
                Comparators.min(ROTATION_EXIT_DELAY, half.multipliedBy(4).dividedBy(5));
        return new StopSchedule(firstClose, half, Comparators.min(lastStart, lastAnswer), lastAnswer, end);
    }
}
