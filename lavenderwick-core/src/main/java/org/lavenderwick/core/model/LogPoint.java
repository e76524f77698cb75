package org.lavenderwick.core.model;

import java.util.Comparator;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A position in the replication log of a database group, with the term of the entry there. Ordered by term, then by
 * position.
 *
 * @param term the term in which the entry was written
 * @param position number of log entries up to and including this one; does not restart with a new term
 */
public record LogPoint(Term term, long position) implements Comparable<LogPoint> {

    /** The log point before the first entry. */
    public static final LogPoint START = new LogPoint(Term.NONE, 0);

    private static final Comparator<LogPoint> ORDER =
            Comparator.comparing(LogPoint::term).thenComparingLong(LogPoint::position);

    /** Checks that the position is not negative. */
    public LogPoint {
        checkArgument(position >= 0, "position is negative: %s", position);
    }

    /** Returns the log point with the given term number and position. */
    public static LogPoint of(long term, long position) {
        return new LogPoint(Term.of(term), position);
    }

    /** Returns the later of two log points. */
    public static LogPoint max(LogPoint first, LogPoint second) {
        return first.compareTo(second) >= 0 ? first : second;
    }

    @Override
    public int compareTo(LogPoint other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return term + ":" + position;
    }

    // Written out for the reason given at GroupName.
    @Override
    public boolean equals(Object other) {
        return other instanceof LogPoint that && that.term.equals(term) && that.position == position;
    }

    @Override
    public int hashCode() {
        return 31 * term.hashCode() + Long.hashCode(position);
    }
}
