package org.lavenderwick.cli;

import com.beust.jcommander.Parameter;
import org.lavenderwick.adapters.sheet.Sheet;

/** Checks a planners' sheet. */
final class SheetCheckCommand implements Command {

    @Parameter(description = "FILE", required = true)
    private String file;

    @Override
    public String name() {
        return "sheet check";
    }

    @Override
    public String description() {
        return "Check a planners' sheet and show all its faults.";
    }

    @Override
    public ExitCode run(Terminal terminal) {
        return SheetFile.read(file, terminal).fold(code -> code, sheet -> {
            terminal.print(summary(sheet));
            return ExitCode.DONE;
        });
    }

    private static String summary(Sheet sheet) {
        int endpoints = sheet.groups().values().stream()
                .mapToInt(group -> group.endpoints().size())
                .sum();
        return "The sheet has no faults: services %d, groups %d, endpoints %d, planned stops %d."
                .formatted(
                        sheet.services().size(),
                        sheet.groups().size(),
                        endpoints,
                        sheet.plannedStops().size());
    }
}
