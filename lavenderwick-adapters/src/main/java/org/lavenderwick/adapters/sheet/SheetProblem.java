package org.lavenderwick.adapters.sheet;

/**
 * One fault in a sheet.
 *
 * @param row number of the row as the spreadsheet shows it, from 1; 0 for the sheet as a whole
 * @param column header of the column, empty for the row as a whole
 * @param reason what is wrong and what is expected
 */
public record SheetProblem(int row, String column, String reason) {

    @Override
    public String toString() {
        String place = row == 0 ? "sheet" : column.isEmpty() ? "row " + row : "row " + row + ", column " + column;
        return place + ": " + reason;
    }
}
