package org.lavenderwick.core.billing;

import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneOffset;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The usage that is already paid for in a billing period. A period is billed by its peak minute, so usage up to the
 * peak so far adds no cost.
 *
 * @param period billing period, a calendar month in UTC
 * @param connections maximum number of connections in a minute of the period so far
 * @param load maximum number of statements in a minute of the period so far
 */
public record PaidLevel(YearMonth period, int connections, long load) {

    /** Checks that the connections and the load are not negative. */
    public PaidLevel {
        checkArgument(connections >= 0, "number of connections is negative: %s", connections);
        checkArgument(load >= 0, "number of statements is negative: %s", load);
    }

    /** Returns the paid level, with no usage, of the billing period that contains the given time. */
    public static PaidLevel startOf(Instant time) {
        return new PaidLevel(YearMonth.from(time.atOffset(ZoneOffset.UTC)), 0, 0);
    }

    /**
     * Returns the combination of two paid levels: the one of the later period, or the maximum of each value if both
     * belong to the same period.
     */
    public PaidLevel merge(PaidLevel other) {
        int order = period.compareTo(other.period);
        if (order != 0) {
            return order > 0 ? this : other;
        }
        return new PaidLevel(period, Math.max(connections, other.connections), Math.max(load, other.load));
    }

    /** Returns the paid level after a minute with the given usage. */
    public PaidLevel raisedBy(MinuteUsage usage) {
        return merge(new PaidLevel(usage.period(), usage.connections(), usage.statements()));
    }

    /** Returns this paid level, or one without usage if the given time belongs to a later billing period. */
    public PaidLevel at(Instant time) {
        return merge(startOf(time));
    }
}
