package org.lavenderwick.core.drain;

import java.time.Duration;

import io.vavr.control.Either;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

/**
 * State of the graceful shutdown of a daemon: counts the work in flight and determines when the daemon may stop.
 * Thread-safe. Traffic threads report work; the control thread begins the drain and reports the time.
 *
 * <p>Work is checked and counted atomically, so no new work is accepted after the drain has begun.
 */
public final class Drain {

    private final Duration timeout;
    private DrainState state = DrainState.RUNNING;
    private Duration deadline = Duration.ZERO;
    private int inFlight;

    private Drain(Duration timeout) {
        this.timeout = timeout;
    }

    /**
     * Returns the state of a running daemon that, once its drain begins, waits for work for at most {@code timeout}.
     */
    public static Drain create(Duration timeout) {
        checkArgument(!timeout.isNegative(), "drain timeout is negative: %s", timeout);
        return new Drain(timeout);
    }

    /**
     * Counts new work, or rejects it with {@code DRAINING} if the drain has begun. A transaction counts as one piece of
     * work from its beginning to its end.
     *
     * @return the number of pieces of work in flight, including this one
     */
    public synchronized Either<Failure, Integer> accept() {
        if (state != DrainState.RUNNING) {
            return Either.left(Failure.of(ErrorKind.DRAINING, "The daemon is shutting down; use another one."));
        }
        inFlight++;
        return Either.right(inFlight);
    }

    /**
     * Counts a further step of accepted work, such as a statement of an open transaction. Such steps are accepted until
     * the drain has ended, because a rejection would abort work in flight.
     *
     * @return the number of pieces of work in flight, including this step
     */
    public synchronized Either<Failure, Integer> acceptContinuation() {
        if (state == DrainState.DONE || state == DrainState.BOUND_REACHED) {
            return Either.left(Failure.of(ErrorKind.DRAINING, "The daemon has shut down."));
        }
        inFlight++;
        return Either.right(inFlight);
    }

    /** Records the end of an accepted piece of work or step. */
    public synchronized void finished() {
        checkState(inFlight > 0, "no work is in flight");
        inFlight--;
        completeIfIdle();
    }

    /** Begins the drain at the given monotonic time. Has no effect if it has already begun. */
    public synchronized void begin(Duration now) {
        if (state == DrainState.RUNNING) {
            state = DrainState.DRAINING;
            deadline = now.plus(timeout);
            completeIfIdle();
        }
    }

    /** Ends the drain if its timeout has expired at the given monotonic time, and returns the state. */
    public synchronized DrainState tick(Duration now) {
        if (state == DrainState.DRAINING && now.compareTo(deadline) >= 0) {
            state = DrainState.BOUND_REACHED;
        }
        return state;
    }

    /** Returns the current state. */
    public synchronized DrainState state() {
        return state;
    }

    /** Returns whether load balancers may send new work to the daemon. */
    public synchronized boolean isReady() {
        return state == DrainState.RUNNING;
    }

    /** Returns the number of pieces of work in flight. */
    public synchronized int inFlight() {
        return inFlight;
    }

    private void completeIfIdle() {
        if (state == DrainState.DRAINING && inFlight == 0) {
            state = DrainState.DONE;
        }
    }
}
