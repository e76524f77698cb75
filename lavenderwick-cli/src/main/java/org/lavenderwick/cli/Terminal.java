package org.lavenderwick.cli;

import java.io.PrintStream;

/** Where commands write: results on standard output, errors on standard error in one line each. */
public final class Terminal {

    private static final String PROGRAM = "lavenderwick";

    private final PrintStream out;
    private final PrintStream err;

    private Terminal(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** Returns a terminal that writes to the given streams. */
    public static Terminal of(PrintStream out, PrintStream err) {
        return new Terminal(out, err);
    }

    /** Writes a line of the result. */
    public void print(String line) {
        out.println(line);
    }

    /** Writes a line to standard error that is no error by itself. */
    public void note(String line) {
        err.println(oneLine(line));
    }

    /** Writes why the command failed and what mends it, and returns {@link ExitCode#FAILED}. */
    public ExitCode fail(String reason, String fix) {
        return error(ExitCode.FAILED, reason, fix);
    }

    /** Writes what is wrong with the command line and what mends it, and returns {@link ExitCode#USAGE}. */
    public ExitCode misuse(String reason, String fix) {
        return error(ExitCode.USAGE, reason, fix);
    }

    private ExitCode error(ExitCode code, String reason, String fix) {
        err.println(PROGRAM + ": " + oneLine(reason) + " " + oneLine(fix));
        return code;
    }

    private static String oneLine(String text) {
        return text.strip().replaceAll("\\s*\\R\\s*", " ");
    }
}
