package org.lavenderwick.core.scheduling;

import java.time.Duration;

/** Conversion between durations and seconds. */
final class Seconds {

    private static final double NANOS = 1e9;

    private Seconds() {}

    static double of(Duration duration) {
        return duration.toNanos() / NANOS;
    }

    static Duration toDuration(double seconds) {
        return Duration.ofNanos((long) (seconds * NANOS));
    }
}
