package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

import org.lavenderwick.core.time.MonotonicClock;

/**
 * Notices that the host stood still. While a host is suspended its monotonic clock stops and its time of day goes on,
 * so the two part. They part as well when the time of day is set; that is harmless, as evidence is only gathered anew.
 * A suspension that coincides with a step back of the same length stays unnoticed. Confined to one thread.
 */
public final class ClockJumpDetector {

    /** Difference that the two clocks may gain between two looks; ordinary adjustments stay far below it. */
    private static final Duration TOLERANCE = Duration.ofMillis(150);

    private final MonotonicClock monotonic;
    private final InstantSource timeOfDay;
    private Duration monotonicBefore;
    private Instant timeOfDayBefore;

    private ClockJumpDetector(MonotonicClock monotonic, InstantSource timeOfDay) {
        this.monotonic = monotonic;
        this.timeOfDay = timeOfDay;
        this.monotonicBefore = monotonic.now();
        this.timeOfDayBefore = timeOfDay.instant();
    }

    /** Returns a guard that compares the two clocks from now on. */
    public static ClockJumpDetector create(MonotonicClock monotonic, InstantSource timeOfDay) {
        return new ClockJumpDetector(monotonic, timeOfDay);
    }

    /** Returns whether the clocks parted since the last call. */
    boolean hasJumped() {
        Duration monotonicNow = monotonic.now();
        Instant timeOfDayNow = timeOfDay.instant();
        Duration gained = Duration.between(timeOfDayBefore, timeOfDayNow).minus(monotonicNow.minus(monotonicBefore));
        monotonicBefore = monotonicNow;
        timeOfDayBefore = timeOfDayNow;
        return gained.abs().compareTo(TOLERANCE) > 0;
    }
}
