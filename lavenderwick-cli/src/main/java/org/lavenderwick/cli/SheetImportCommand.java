package org.lavenderwick.cli;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.core.JsonProcessingException;
import org.lavenderwick.adapters.json.JsonMappers;

/** Shows the configuration that a sheet stands for. */
final class SheetImportCommand implements Command {

    @Parameter(description = "FILE", required = true)
    private String file;

    @Override
    public String name() {
        return "sheet import";
    }

    @Override
    public String description() {
        return "Write the configuration of a sheet as JSON, as version 1 and without session keys.";
    }

    @Override
    public ExitCode run(Terminal terminal) {
        return SheetFile.read(file, terminal).fold(code -> code, sheet -> {
            try {
                terminal.print(JsonMappers.create()
                        .writerWithDefaultPrettyPrinter()
                        .writeValueAsString(sheet.toConfiguration(1, List.of())));
                return ExitCode.DONE;
            } catch (JsonProcessingException e) {
                throw new IllegalStateException("a configuration has no JSON form", e);
            }
        });
    }
}
