package org.lavenderwick.cli;

import java.security.SecureRandom;
import java.time.InstantSource;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import org.lavenderwick.adapters.sheet.Sheet;

/** Puts a planners' sheet in force. */
final class SheetApplyCommand implements Command {

    @Parameter(description = "FILE", required = true)
    private String file;

    @ParametersDelegate
    private final PlatformOptions platformOptions = new PlatformOptions();

    @Parameter(
            names = {"--operator"},
            description = "Name of the operator, for the audit log.",
            required = true)
    private String operator;

    @Override
    public String name() {
        return "sheet apply";
    }

    @Override
    public String description() {
        return "Put a planners' sheet in force for the whole fleet.";
    }

    @Override
    public ExitCode run(Terminal terminal) {
        if (operator.isBlank()) {
            return terminal.misuse("--operator is blank.", "Give the name of whoever answers for the change.");
        }
        Either<ExitCode, Sheet> sheet = SheetFile.read(file, terminal);
        if (sheet.isLeft()) {
            return sheet.getLeft();
        }
        try (PlatformSession session = PlatformSession.open(platformOptions)) {
            return new SheetApplication(
                            session.platform(), session.audit(), InstantSource.system(), new SecureRandom(), terminal)
                    .apply(sheet.get(), operator);
        }
    }
}
