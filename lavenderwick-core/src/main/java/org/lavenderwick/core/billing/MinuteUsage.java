package org.lavenderwick.core.billing;

import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneOffset;

/**
 * Usage of a database group in one calendar minute.
 *
 * @param minute start of the minute
 * @param connections maximum number of connections open at the same time
 * @param statements number of statements started in the minute
 */
public record MinuteUsage(Instant minute, int connections, long statements) {

    /** Returns the billing period of the minute, which is its calendar month in UTC. */
    public YearMonth period() {
        return YearMonth.from(minute.atOffset(ZoneOffset.UTC));
    }
}
