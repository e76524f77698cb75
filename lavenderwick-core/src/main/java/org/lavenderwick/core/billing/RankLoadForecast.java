package org.lavenderwick.core.billing;

import java.time.Duration;
import java.time.Instant;

/** Statements per rank in the running minute and the one before it, which tell what the rest of the minute brings. */
final class RankLoadForecast {

    /** A shorter part of the minute says too little about the rest. */
    private static final Duration MIN_ELAPSED = Duration.ofSeconds(5);

    private final long[] current;
    private final long[] previous;
    private Instant minute = Instant.EPOCH;

    RankLoadForecast(int ranks) {
        current = new long[ranks];
        previous = new long[ranks];
    }

    void recordStarted(int rank, int statements, Instant now) {
        advance(now);
        current[rank] += statements;
    }

    /** Returns how many statements of ranks more urgent than the given one the rest of the minute will bring. */
    long expectedFromMoreUrgentRanks(int rank, Instant now) {
        advance(now);
        Duration elapsed = Duration.between(minute, now);
        double length = Duration.ofMinutes(1).toNanos();
        double passed = Math.max(0, Math.min(1, elapsed.toNanos() / length));
        double expected = 0;
        for (int urgent = 0; urgent < rank; urgent++) {
            double rest = previous[urgent] * (1 - passed);
            if (elapsed.compareTo(MIN_ELAPSED) >= 0) {
                rest = Math.max(rest, current[urgent] / passed * (1 - passed));
            }
            expected += rest;
        }
        return (long) Math.ceil(expected);
    }

    private void advance(Instant now) {
        Instant newest = MinuteMeter.minuteOf(now);
        if (!newest.isAfter(minute)) {
            return;
        }
        boolean adjacent = newest.equals(MinuteMeter.nextMinute(minute));
        for (int rank = 0; rank < current.length; rank++) {
            previous[rank] = adjacent ? current[rank] : 0;
            current[rank] = 0;
        }
        minute = newest;
    }
}
