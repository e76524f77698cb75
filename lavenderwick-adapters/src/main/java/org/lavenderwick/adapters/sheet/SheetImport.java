package org.lavenderwick.adapters.sheet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import com.google.common.collect.ImmutableList;
import io.vavr.control.Either;

/**
 * Reads the planners' sheet. Rows may stand in any order, except that ranks stand most urgent first and the first
 * endpoint of a group is its first primary. A sheet with any fault is refused whole, and every fault is reported.
 */
public final class SheetImport {

    private SheetImport() {}

    /** Returns the content of a sheet, or every fault in it in the order of the rows. */
    public static Either<List<SheetProblem>, Sheet> parse(byte[] csv) {
        List<SheetProblem> problems = new ArrayList<>();
        List<SheetRow> rows = new SheetReader(problems).read(csv);
        SheetBuilder builder = new SheetBuilder();
        rows.forEach(SheetRow::checkUnusedCells);
        rows.forEach(builder::declare);
        rows.forEach(builder::add);
        builder.checkComplete();
        if (rows.isEmpty() && problems.isEmpty()) {
            problems.add(new SheetProblem(0, "", "has no row below the header"));
        }
        if (problems.isEmpty()) {
            return Either.right(builder.build());
        }
        problems.sort(Comparator.comparingInt(SheetProblem::row));
        return Either.left(ImmutableList.copyOf(problems));
    }
}
