package org.lavenderwick.core.billing;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Counts the usage of one database group per calendar minute. Confined to one thread.
 *
 * <p>A wall clock that is set back does not reopen a minute: usage then counts towards the newest one.
 */
public final class MinuteMeter {

    private Instant minute;
    private int open;
    private int peakConnections;
    private long statements;
    private final List<MinuteUsage> finished = new ArrayList<>();

    private MinuteMeter(Instant minute) {
        this.minute = minute;
    }

    /** Returns a meter without usage. */
    public static MinuteMeter startingAt(Instant now) {
        return new MinuteMeter(minuteOf(now));
    }

    /** Returns the start of the minute that contains the given time. */
    public static Instant minuteOf(Instant time) {
        return time.truncatedTo(ChronoUnit.MINUTES);
    }

    /** Returns the start of the next minute, at which deferred work should be offered again. */
    public static Instant nextMinute(Instant time) {
        return minuteOf(time).plus(1, ChronoUnit.MINUTES);
    }

    /** Records the number of connections now open or being opened. */
    public void recordConnections(int nowOpen, Instant now) {
        checkArgument(nowOpen >= 0, "number of connections is negative: %s", nowOpen);
        advance(now);
        open = nowOpen;
        peakConnections = Math.max(peakConnections, nowOpen);
    }

    /** Records statements that start now. */
    public void recordStatements(int started, Instant now) {
        checkArgument(started >= 0, "number of statements is negative: %s", started);
        advance(now);
        statements += started;
    }

    /** Returns the usage of the running minute so far. */
    public MinuteUsage current(Instant now) {
        advance(now);
        return new MinuteUsage(minute, peakConnections, statements);
    }

    /**
     * Returns the minutes that ended since the last call, oldest first. Of several minutes without an event only the
     * last is returned, as they are all alike.
     */
    public List<MinuteUsage> takeFinished(Instant now) {
        advance(now);
        List<MinuteUsage> result = List.copyOf(finished);
        finished.clear();
        return result;
    }

    private void advance(Instant now) {
        Instant newest = minuteOf(now);
        if (!newest.isAfter(minute)) {
            return;
        }
        finished.add(new MinuteUsage(minute, peakConnections, statements));
        Instant previous = newest.minus(1, ChronoUnit.MINUTES);
        if (previous.isAfter(minute)) {
            finished.add(new MinuteUsage(previous, open, 0));
        }
        minute = newest;
        peakConnections = open;
        statements = 0;
    }
}
