package org.lavenderwick.core.drain;

import java.time.Duration;

import io.vavr.control.Either;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

/**
 * Counts the work in flight and decides when a shutting-down daemon may stop. The check and the count are one step, so
 * no request is accepted after the drain has begun. Thread-safe; traffic threads report work, the control thread begins
 * the drain and reports time.
 */
public final class Drain {

    private final Duration bound;
    private DrainState state = DrainState.RUNNING;
    private Duration deadline = Duration.ZERO;
    private int inFlight;

    private Drain(Duration bound) {
        this.bound = bound;
    }

    /** Returns the drain of a running daemon that finishes work for at most the given time. */
    public static Drain create(Duration bound) {
        checkArgument(!bound.isNegative(), "bound is negative");
        return new Drain(bound);
    }

    /**
     * Counts a piece of new work, or refuses it with {@code DRAINING}. A transaction is one piece of work from its
     * begin to its end.
     */
    public synchronized Either<Failure, Integer> accept() {
        if (state != DrainState.RUNNING) {
            return Either.left(Failure.of(ErrorKind.DRAINING, "The daemon is shutting down; use another one."));
        }
        inFlight++;
        return Either.right(inFlight);
    }

    /**
     * Counts a further step of work that was accepted before, such as a statement of an open transaction. It is
     * accepted until the daemon stops, because a refusal would cut off work in flight.
     */
    public synchronized Either<Failure, Integer> acceptContinuation() {
        if (state == DrainState.DONE || state == DrainState.BOUND_REACHED) {
            return Either.left(Failure.of(ErrorKind.DRAINING, "The daemon has shut down."));
        }
        inFlight++;
        return Either.right(inFlight);
    }

    /** Reports the end of one accepted piece of work. */
    public synchronized void finished() {
        checkState(inFlight > 0, "no work is in flight");
        inFlight--;
        endIfIdle();
    }

    /** Begins the drain. Has no effect when it has begun already. */
    public synchronized void begin(Duration now) {
        if (state == DrainState.RUNNING) {
            state = DrainState.DRAINING;
            deadline = now.plus(bound);
            endIfIdle();
        }
    }

    /** Reports the passage of time and returns the state. */
    public synchronized DrainState tick(Duration now) {
        if (state == DrainState.DRAINING && now.compareTo(deadline) >= 0) {
            state = DrainState.BOUND_REACHED;
        }
        return state;
    }

    /** Returns the state. */
    public synchronized DrainState state() {
        return state;
    }

    /** Returns whether a load balancer may send new work. */
    public synchronized boolean isReady() {
        return state == DrainState.RUNNING;
    }

    /** Returns the number of pieces of work in flight. */
    public synchronized int inFlight() {
        return inFlight;
    }

    private void endIfIdle() {
        if (state == DrainState.DRAINING && inFlight == 0) {
            state = DrainState.DONE;
        }
    }
}
