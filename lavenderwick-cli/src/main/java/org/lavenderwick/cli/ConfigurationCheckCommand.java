package org.lavenderwick.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.lavenderwick.platform.check.ConfigurationCheck;
import org.lavenderwick.platform.check.ConfigurationDifference;
import org.lavenderwick.platform.check.Finding;

/** Checks a configuration document before it is written to the store. Fails if it has errors; warnings pass. */
final class ConfigurationCheckCommand implements Command {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Parameter(description = "FILE", required = true)
    private String file;

    @Parameter(
            names = {"--against"},
            description = "File with the version in force; the differences are shown.")
    private String current;

    @Parameter(
            names = {"--json"},
            description = "Print one JSON object instead of lines.")
    private boolean json;

    @Override
    public String name() {
        return "configuration check";
    }

    @Override
    public String description() {
        return "Check a configuration document of the session interface, and compare it with the version in force.";
    }

    @Override
    public ExitCode run(Terminal terminal) {
        Either<ExitCode, JsonNode> document = read(file, terminal);
        if (document.isLeft()) {
            return document.getLeft();
        }
        List<Finding> findings = ConfigurationCheck.check(document.get());
        List<String> differences = new ArrayList<>();
        if (current != null) {
            Either<ExitCode, JsonNode> inForce = read(current, terminal);
            if (inForce.isLeft()) {
                return inForce.getLeft();
            }
            differences.addAll(ConfigurationDifference.between(inForce.get(), document.get()));
        }
        if (json) {
            terminal.print(toJson(findings, differences).toString());
        } else {
            findings.forEach(finding -> terminal.print(finding.toString()));
            differences.forEach(difference -> terminal.print("change   " + difference));
        }
        long errors = findings.stream()
                .filter(finding -> finding.severity() == Finding.Severity.ERROR)
                .count();
        return errors == 0
                ? ExitCode.DONE
                : terminal.fail("The document has " + errors + " errors.", "Correct the entries shown above.");
    }

    private static JsonNode toJson(List<Finding> findings, List<String> differences) {
        ObjectNode result = MAPPER.createObjectNode();
        ArrayNode entries = result.putArray("findings");
        findings.forEach(finding -> entries.addObject()
                .put("severity", finding.severity().name())
                .put("path", finding.path())
                .put("message", finding.message()));
        ArrayNode changes = result.putArray("changes");
        differences.forEach(changes::add);
        return result;
    }

    private static Either<ExitCode, JsonNode> read(String name, Terminal terminal) {
        try {
            JsonNode document = MAPPER.readTree(Files.readAllBytes(Path.of(name)));
            return document.isObject()
                    ? Either.right(document)
                    : Either.left(terminal.fail("The file " + name + " holds no JSON object.", "Check its content."));
        } catch (NoSuchFileException e) {
            return Either.left(terminal.fail("The file " + name + " does not exist.", "Check its name."));
        } catch (JsonProcessingException e) {
            // The message of the parser may quote the document, which holds keys.
            return Either.left(terminal.fail(
                    "The file " + name + " is not JSON, at line "
                            + (e.getLocation() == null ? 1 : e.getLocation().getLineNr()) + ".",
                    "Correct it."));
        } catch (IOException e) {
            return Either.left(terminal.fail(
                    "The file " + name + " cannot be read (" + e.getMessage() + ").",
                    "Check that it is a file and that you may read it."));
        }
    }
}
