package org.lavenderwick.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The exit code and output of one command line. */
record CommandRun(ExitCode code, List<String> out, List<String> err) {

    /** Runs the tool as an operator does. */
    static CommandRun of(String... arguments) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        Terminal terminal = Terminal.of(
                new PrintStream(out, true, StandardCharsets.UTF_8), new PrintStream(err, true, StandardCharsets.UTF_8));
        ExitCode code = CommandLine.of(Main.commands()).run(terminal, arguments);
        return new CommandRun(
                code,
                out.toString(StandardCharsets.UTF_8).lines().toList(),
                err.toString(StandardCharsets.UTF_8).lines().toList());
    }
}
