package org.lavenderwick.adapters.sheet;

import java.math.BigDecimal;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.time.format.DateTimeParseException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;

import org.lavenderwick.adapters.settings.Addresses;

/** One row with typed access to its cells. Faults go to a shared list; an empty result says that a fault was added. */
final class SheetRow {

    /** Names become parts of URLs and platform keys, hence the narrow alphabet. */
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

    private static final Pattern WHOLE_NUMBER = Pattern.compile("-?[0-9]{1,18}");
    private static final Pattern FRACTION = Pattern.compile("[0-9]{1,9}([.,][0-9]{1,9})?%?");
    private static final BigDecimal HUNDRED = BigDecimal.valueOf(100);

    private final int number;
    private final RowKind kind;
    private final Map<SheetColumn, String> cells;
    private final List<SheetProblem> problems;

    SheetRow(int number, RowKind kind, Map<SheetColumn, String> cells, List<SheetProblem> problems) {
        this.number = number;
        this.kind = kind;
        this.cells = cells;
        this.problems = problems;
    }

    RowKind kind() {
        return kind;
    }

    /** Reports filled cells that have no meaning in this kind of row. */
    void checkUnusedCells() {
        cells.forEach((column, value) -> {
            if (!value.isEmpty() && !kind.uses(column)) {
                report(column, "must be empty in a row of kind " + kind.text());
            }
        });
    }

    /** Returns a required name. */
    Optional<String> name(SheetColumn column) {
        return parse(
                column,
                "a name of letters without accents, digits, hyphens, dots and underscores, at most 64 characters",
                text -> NAME.matcher(text).matches() ? text : null);
    }

    /** Returns a required whole number in a range. */
    Optional<Long> number(SheetColumn column, long min, long max) {
        return parse(column, "a whole number from " + min + " to " + max, text -> {
            if (!WHOLE_NUMBER.matcher(text).matches()) {
                return null;
            }
            long value = Long.parseLong(text);
            return value < min || value > max ? null : value;
        });
    }

    /** Returns a whole number in a range, or the default where the cell is empty. */
    Optional<Long> number(SheetColumn column, long min, long max, long defaultValue) {
        return text(column).isEmpty() ? Optional.of(defaultValue) : number(column, min, max);
    }

    /** Returns a required share from 0 to 1. */
    Optional<BigDecimal> share(SheetColumn column) {
        return parse(column, "a share from 0 to 1 such as 0.3 or 30%", text -> {
            if (!FRACTION.matcher(text).matches()) {
                return null;
            }
            BigDecimal value = new BigDecimal(text.replace(',', '.').replace("%", ""));
            BigDecimal share = text.endsWith("%") ? value.divide(HUNDRED) : value;
            return share.compareTo(BigDecimal.ONE) > 0 ? null : share;
        });
    }

    /** Returns a required IP address and port. */
    Optional<String> address(SheetColumn column) {
        return parse(
                column,
                "an IP address and port such as 127.0.1.1:9000",
                text -> Addresses.isIpAndPort(text) ? text : null);
    }

    /** Returns a required time. */
    Optional<Instant> time(SheetColumn column) {
        return parse(column, "a time with its offset from UTC such as 2026-12-10 02:00-05:00", text -> {
            try {
                String iso = text.replaceFirst(" ", "T").replace(" ", "");
                return OffsetDateTime.parse(iso).toInstant();
            } catch (DateTimeParseException e) {
                return null;
            }
        });
    }

    void report(SheetColumn column, String reason) {
        problems.add(new SheetProblem(number, column.header(), reason));
    }

    private String text(SheetColumn column) {
        return cells.getOrDefault(column, "");
    }

    private <T> Optional<T> parse(SheetColumn column, String expected, Function<String, T> parser) {
        String text = text(column);
        T value = text.isEmpty() ? null : parser.apply(text);
        if (value == null) {
            report(column, (text.isEmpty() ? "is empty" : "is \"" + text + "\"") + "; expected " + expected);
        }
        return Optional.ofNullable(value);
    }
}
