package org.lavenderwick.core.billing;

import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneOffset;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The busiest minute of a billing period so far. Usage up to it costs nothing more.
 *
 * @param period calendar month in UTC
 * @param connections highest number of connections in a minute
 * @param load highest number of statements in a minute
 */
public record PaidLevel(YearMonth period, int connections, long load) {

    /** Checks the ranges. */
    public PaidLevel {
        checkArgument(connections >= 0, "number of connections is negative: %s", connections);
        checkArgument(load >= 0, "load is negative: %s", load);
    }

    /** Returns the level at the start of the period that contains the given time. */
    public static PaidLevel startOf(Instant time) {
        return new PaidLevel(YearMonth.from(time.atOffset(ZoneOffset.UTC)), 0, 0);
    }

    /** Returns the level after both: the later period, or within one period the maximum of each value. */
    public PaidLevel merge(PaidLevel other) {
        int order = period.compareTo(other.period);
        if (order != 0) {
            return order > 0 ? this : other;
        }
        return new PaidLevel(period, Math.max(connections, other.connections), Math.max(load, other.load));
    }

    /** Returns the level after a minute with the given usage. */
    public PaidLevel raisedBy(MinuteUsage usage) {
        return merge(new PaidLevel(usage.period(), usage.connections(), usage.statements()));
    }

    /** Returns this level, or that of the new period if the given time lies in a later one. */
    public PaidLevel at(Instant time) {
        return merge(startOf(time));
    }
}
