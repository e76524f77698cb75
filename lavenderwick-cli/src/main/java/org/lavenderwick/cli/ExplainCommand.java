package org.lavenderwick.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

/** Shows from the logs of daemons why a request failed. */
final class ExplainCommand implements Command {

    private static final String STANDARD_INPUT = "-";

    private final InputStream input;

    @Parameter(
            names = {"--request"},
            description = "The id of the request, as its caller sent it.",
            required = true)
    private String request;

    @Parameter(description = "LOG... (files; - or none for the standard input)")
    private List<String> files = new ArrayList<>();

    ExplainCommand(InputStream input) {
        this.input = input;
    }

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String description() {
        return "Show from the logs of session daemons why a request failed.";
    }

    @Override
    public ExitCode run(Terminal terminal) {
        RequestTimeline timeline = new RequestTimeline();
        for (String file : files.isEmpty() ? List.of(STANDARD_INPUT) : files) {
            try {
                timeline.add(file, file.equals(STANDARD_INPUT) ? standardInput() : read(Path.of(file)));
            } catch (IOException | UncheckedIOException e) {
                return terminal.fail("The log " + file + " cannot be read: " + e.getMessage() + ".", "Check the name.");
            }
        }
        List<String> lines = timeline.explain(request);
        if (lines.isEmpty()) {
            return terminal.fail(
                    "No line tells of the request " + request + ".",
                    "It may have succeeded, its line may be among those not shown, or its daemon's log is missing.");
        }
        lines.forEach(terminal::print);
        return ExitCode.DONE;
    }

    private List<String> standardInput() {
        return new BufferedReader(new InputStreamReader(input, StandardCharsets.UTF_8))
                .lines()
                .toList();
    }

    private static List<String> read(Path file) throws IOException {
        return Files.readAllLines(file, StandardCharsets.UTF_8);
    }
}
