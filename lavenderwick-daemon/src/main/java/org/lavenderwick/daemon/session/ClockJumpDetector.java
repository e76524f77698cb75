package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;

import org.lavenderwick.core.time.MonotonicClock;

/**
 * A detector for suspensions of the host. During a suspension the monotonic clock stops while the wall clock continues,
 * so their difference changes.
 *
 * <p>Setting the wall clock also changes the difference. This is harmless, because it only causes evidence to be
 * gathered again. A suspension is not detected if the wall clock is set back by the length of the suspension at the
 * same time.
 *
 * <p>Confined to one thread.
 */
public final class ClockJumpDetector {

    /** Maximum change of the difference between two checks; regular clock adjustments cause far less. */
    private static final Duration MAX_DRIFT = Duration.ofMillis(150);

    private final MonotonicClock monotonic;
    private final InstantSource wall;
    private Duration lastMonotonic;
    private Instant lastWall;

    private ClockJumpDetector(MonotonicClock monotonic, InstantSource wall) {
        this.monotonic = monotonic;
        this.wall = wall;
        this.lastMonotonic = monotonic.now();
        this.lastWall = wall.instant();
    }

    /** Creates a detector that compares the two clocks from now on. */
    public static ClockJumpDetector create(MonotonicClock monotonic, InstantSource wall) {
        return new ClockJumpDetector(monotonic, wall);
    }

    /**
     * Returns by how much the difference between the clocks has changed since the previous call; empty if by no more
     * than allowed. It is the length of a suspension, if there was one and the wall clock was not set.
     */
    Optional<Duration> jump() {
        Duration monotonicNow = monotonic.now();
        Instant wallNow = wall.instant();
        Duration drift = Duration.between(lastWall, wallNow).minus(monotonicNow.minus(lastMonotonic));
        lastMonotonic = monotonicNow;
        lastWall = wallNow;
        return Optional.of(drift.abs()).filter(length -> length.compareTo(MAX_DRIFT) > 0);
    }
}
