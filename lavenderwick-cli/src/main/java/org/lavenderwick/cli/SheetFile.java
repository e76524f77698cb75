package org.lavenderwick.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import org.lavenderwick.adapters.sheet.Sheet;
import org.lavenderwick.adapters.sheet.SheetImport;
import org.lavenderwick.adapters.sheet.SheetProblem;

/** Reads the sheet that a command names, and shows its faults. */
final class SheetFile {

    private SheetFile() {}

    /** Returns the sheet in the file, or the exit code after the faults were shown. */
    static Either<ExitCode, Sheet> read(String file, Terminal terminal) {
        byte[] csv;
        try {
            csv = Files.readAllBytes(Path.of(file));
        } catch (NoSuchFileException e) {
            return Either.left(terminal.fail("The file " + file + " does not exist.", "Check its name."));
        } catch (IOException e) {
            return Either.left(terminal.fail(
                    "The file " + file + " cannot be read (" + e.getMessage() + ").",
                    "Check that it is a file and that you may read it."));
        }
        Either<List<SheetProblem>, Sheet> parsed = SheetImport.parse(csv);
        if (parsed.isRight()) {
            return Either.right(parsed.get());
        }
        List<SheetProblem> problems = parsed.getLeft();
        problems.forEach(problem -> terminal.note(file + ": " + problem));
        String count = problems.size() == 1 ? "1 fault" : problems.size() + " faults";
        return Either.left(
                terminal.fail("The sheet has " + count + " and is refused whole.", "Correct the rows shown above."));
    }
}
