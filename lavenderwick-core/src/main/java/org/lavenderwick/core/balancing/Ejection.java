package org.lavenderwick.core.balancing;

import java.time.Duration;

/**
 * The ejection of one endpoint: in use, ejected for a time, then probed by single statements, then in use again with
 * the lowest limit. Repeated ejections last longer, up to a bound. Not thread-safe.
 */
final class Ejection {

    static final Duration FIRST_DURATION = Duration.ofMillis(500);
    static final Duration MAX_DURATION = Duration.ofSeconds(8);

    /** Successful probes in a row that are needed for readmission. */
    static final int PROBES = 3;

    /** Minimum time between two probes. */
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(40);

    /** An endpoint that was in use for this long since its last ejection begins with the first duration again. */
    private static final Duration FORGET_AFTER = Duration.ofSeconds(12);

    /** The state of an endpoint. */
    enum State {
        IN_USE,
        EJECTED,
        PROBING
    }

    private State state = State.IN_USE;
    private EjectionCause cause;
    private Duration ejectedAt = Duration.ZERO;
    private Duration until = Duration.ZERO;
    private Duration nextProbeAt = Duration.ZERO;
    private Duration readmittedAt = Duration.ofDays(-1);
    private Duration duration = Duration.ZERO;
    private int passedProbes;

    State state() {
        return state;
    }

    EjectionCause cause() {
        return cause;
    }

    /**
     * Ejects the endpoint and returns for how long. The time is not doubled if it is still unreachable after an
     * ejection, so that an endpoint that was down for long is in use again soon after its return.
     */
    Duration eject(EjectionCause reason, Duration now) {
        boolean stillDown =
                state == State.PROBING && passedProbes == 0 && reason == EjectionCause.DISCONNECTED && cause == reason;
        boolean repeated = !duration.isZero()
                && (state != State.IN_USE || now.minus(readmittedAt).compareTo(FORGET_AFTER) < 0);
        Duration doubled = duration.multipliedBy(2);
        Duration longer = doubled.compareTo(MAX_DURATION) < 0 ? doubled : MAX_DURATION;
        duration = !repeated ? FIRST_DURATION : stillDown ? duration : longer;
        state = State.EJECTED;
        cause = reason;
        ejectedAt = now;
        until = now.plus(duration);
        return duration;
    }

    Duration ejectedAt() {
        return ejectedAt;
    }

    /** Starts probing if the time of the ejection has passed; returns whether it starts now. */
    boolean startProbing(Duration now) {
        if (state != State.EJECTED || now.compareTo(until) < 0) {
            return false;
        }
        state = State.PROBING;
        passedProbes = 0;
        nextProbeAt = now;
        return true;
    }

    /** Returns whether a probe may be sent, provided that none is running. */
    boolean isProbeDue(Duration now) {
        return state == State.PROBING && now.compareTo(nextProbeAt) >= 0;
    }

    void onProbeSent(Duration now) {
        nextProbeAt = now.plus(PROBE_INTERVAL);
    }

    /** Records a successful probe; returns whether the endpoint is readmitted by it. */
    boolean onProbePassed(Duration now) {
        passedProbes++;
        if (state != State.PROBING || passedProbes < PROBES) {
            return false;
        }
        state = State.IN_USE;
        readmittedAt = now;
        return true;
    }
}
