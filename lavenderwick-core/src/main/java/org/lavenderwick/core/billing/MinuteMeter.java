package org.lavenderwick.core.billing;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Meter of the usage of a database group per calendar minute. Confined to one thread.
 *
 * <p>If the wall clock is set back, usage counts towards the latest minute seen, so that no minute is reopened.
 */
public final class MinuteMeter {

    private Instant minute;
    private int openConnections;
    private int peakConnections;
    private long startedStatements;
    private final List<MinuteUsage> finishedMinutes = new ArrayList<>();

    private MinuteMeter(Instant minute) {
        this.minute = minute;
    }

    /** Returns a meter without usage whose first minute is the one that contains {@code now}. */
    public static MinuteMeter startingAt(Instant now) {
        return new MinuteMeter(minuteOf(now));
    }

    /** Returns the start of the minute that contains the given time. */
    public static Instant minuteOf(Instant time) {
        return time.truncatedTo(ChronoUnit.MINUTES);
    }

    /** Returns the start of the minute after the given time. */
    public static Instant nextMinute(Instant time) {
        return minuteOf(time).plus(1, ChronoUnit.MINUTES);
    }

    /** Records the current number of connections that are open or being opened. */
    public void recordConnections(int open, Instant now) {
        checkArgument(open >= 0, "number of connections is negative: %s", open);
        advance(now);
        openConnections = open;
        peakConnections = Math.max(peakConnections, open);
    }

    /** Records the start of statements. */
    public void recordStatements(int started, Instant now) {
        checkArgument(started >= 0, "number of statements is negative: %s", started);
        advance(now);
        startedStatements += started;
    }

    /** Returns the usage of the current minute so far. */
    public MinuteUsage current(Instant now) {
        advance(now);
        return new MinuteUsage(minute, peakConnections, startedStatements);
    }

    /**
     * Returns the usage of the minutes that have ended since the previous call, oldest first. Of consecutive minutes
     * without events, only the last one is returned, because their usage is the same.
     */
    public List<MinuteUsage> takeFinished(Instant now) {
        advance(now);
        List<MinuteUsage> result = List.copyOf(finishedMinutes);
        finishedMinutes.clear();
        return result;
    }

    private void advance(Instant now) {
        Instant currentMinute = minuteOf(now);
        if (!currentMinute.isAfter(minute)) {
            return;
        }
        finishedMinutes.add(new MinuteUsage(minute, peakConnections, startedStatements));
        Instant previous = currentMinute.minus(1, ChronoUnit.MINUTES);
        if (previous.isAfter(minute)) {
            finishedMinutes.add(new MinuteUsage(previous, openConnections, 0));
        }
        minute = currentMinute;
        peakConnections = openConnections;
        startedStatements = 0;
    }
}
