package org.lavenderwick.adapters.sheet;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** A named column of the sheet. Its header is the name in lower case; case, spaces and hyphens do not matter. */
public enum SheetColumn {
    /** What the row describes; see {@link RowKind}. */
    KIND,
    /** Name of what the row describes; of a stop, the endpoint that stops. */
    NAME,
    /** The service that a rank or group belongs to. */
    SERVICE,
    /** The group that an endpoint or stop belongs to. */
    GROUP,
    /** Age of data that reads of a service accept by default, in milliseconds; empty means current data. */
    MAX_STALENESS_MS,
    /** Time within which requests of a rank should be answered, in milliseconds. */
    TARGET_MS,
    /** Relative value of one request of a rank served within the target. */
    WORTH,
    /** Share of the capacity that a rank keeps during a flood, as 0.3, 0,3 or 30%. */
    FLOOR_SHARE,
    /** Failure domain of an endpoint. */
    FAILURE_DOMAIN,
    /** IP address and port of an endpoint. */
    ADDRESS,
    /** Number of connections an endpoint accepts. */
    CONNECTIONS,
    /** Number of statements an endpoint runs at full speed at the same time. */
    SLOTS,
    /** Start of a stop, with offset from UTC, as 2026-12-10 02:00-05:00. */
    FROM,
    /** End of a stop, in the same form. */
    UNTIL;

    /** Returns the header of the column. */
    public String header() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the column with the given header, if there is one. */
    public static Optional<SheetColumn> ofHeader(String header) {
        String normal =
                header.strip().toUpperCase(Locale.ROOT).replace(' ', '_').replace('-', '_');
        return Arrays.stream(values())
                .filter(column -> column.name().equals(normal))
                .findFirst();
    }
}
