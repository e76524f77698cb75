package org.lavenderwick.core.billing;

import java.time.Duration;
import java.time.Instant;

/** Forecast of the statements that each rank will start in the rest of the current calendar minute. */
final class RankLoadForecast {

    /** Minimum elapsed part of a minute to extrapolate from; a shorter part is too small a sample. */
    private static final Duration MIN_EXTRAPOLATION_TIME = Duration.ofSeconds(5);

    private final long[] currentCounts;
    private final long[] previousCounts;
    private Instant minute = Instant.EPOCH;

    RankLoadForecast(int rankCount) {
        currentCounts = new long[rankCount];
        previousCounts = new long[rankCount];
    }

    void recordStarted(int rank, int statements, Instant now) {
        advance(now);
        currentCounts[rank] += statements;
    }

    /**
     * Returns the number of statements that ranks more urgent than the given one are expected to start in the rest of
     * the current minute, extrapolated from this minute and the previous one.
     */
    long expectedFromMoreUrgentRanks(int rank, Instant now) {
        advance(now);
        Duration elapsed = Duration.between(minute, now);
        double minuteNanos = Duration.ofMinutes(1).toNanos();
        double elapsedFraction = Math.max(0, Math.min(1, elapsed.toNanos() / minuteNanos));
        double expected = 0;
        for (int urgent = 0; urgent < rank; urgent++) {
            double remaining = previousCounts[urgent] * (1 - elapsedFraction);
            if (elapsed.compareTo(MIN_EXTRAPOLATION_TIME) >= 0) {
                remaining = Math.max(remaining, currentCounts[urgent] / elapsedFraction * (1 - elapsedFraction));
            }
            expected += remaining;
        }
        return (long) Math.ceil(expected);
    }

    private void advance(Instant now) {
        Instant currentMinute = MinuteMeter.minuteOf(now);
        if (!currentMinute.isAfter(minute)) {
            return;
        }
        boolean isNextMinute = currentMinute.equals(MinuteMeter.nextMinute(minute));
        for (int rank = 0; rank < currentCounts.length; rank++) {
            previousCounts[rank] = isNextMinute ? currentCounts[rank] : 0;
            currentCounts[rank] = 0;
        }
        minute = currentMinute;
    }
}
