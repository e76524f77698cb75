package org.lavenderwick.adapters.sheet;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** What a row of the sheet describes, and which columns it fills. All other columns must be empty. */
public enum RowKind {
    /** A service that callers use. */
    SERVICE(SheetColumn.NAME, SheetColumn.MAX_STALENESS_MS),
    /** A rank of work of a service. The ranks of a service stand in the order of the rows, most urgent first. */
    RANK(SheetColumn.SERVICE, SheetColumn.NAME, SheetColumn.TARGET_MS, SheetColumn.WORTH, SheetColumn.FLOOR_SHARE),
    /** A database group behind a service. */
    GROUP(SheetColumn.SERVICE, SheetColumn.NAME),
    /** An endpoint of a group. The first endpoint of a group is the primary of its first term. */
    ENDPOINT(
            SheetColumn.GROUP,
            SheetColumn.NAME,
            SheetColumn.FAILURE_DOMAIN,
            SheetColumn.ADDRESS,
            SheetColumn.CONNECTIONS,
            SheetColumn.SLOTS),
    /** A planned stop of an endpoint. */
    STOP(SheetColumn.GROUP, SheetColumn.NAME, SheetColumn.FROM, SheetColumn.UNTIL);

    private final Set<SheetColumn> columns;

    RowKind(SheetColumn... columns) {
        this.columns = EnumSet.of(SheetColumn.KIND, columns);
    }

    /** Returns whether rows of this kind may fill the column. */
    boolean uses(SheetColumn column) {
        return columns.contains(column);
    }

    /** Returns the kind as it stands in the sheet. */
    String text() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns all kinds as they stand in the sheet, for error messages. */
    static String texts() {
        return Arrays.stream(values()).map(RowKind::text).collect(Collectors.joining(", "));
    }

    /** Returns the kind with the given text; case does not matter. */
    static Optional<RowKind> ofText(String text) {
        return Arrays.stream(values())
                .filter(kind -> kind.text().equals(text.toLowerCase(Locale.ROOT)))
                .findFirst();
    }
}
