package org.lavenderwick.cli;

import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderwick.adapters.json.JsonMappers;
import org.lavenderwick.core.configuration.Configuration;

import static org.assertj.core.api.Assertions.assertThat;

class CommandLineTest {

    private static final Path EXAMPLE = Path.of("..", "examples", "keenedge.csv");

    @Nested
    class Selection {

        /** Guards against a command that the help text does not show. */
        @Test
        void helpShowsEveryCommand() {
            CommandRun help = CommandRun.of("--help");

            assertThat(help.code()).isEqualTo(ExitCode.DONE);
            assertThat(help.err()).isEmpty();
            Main.commands()
                    .forEach(command ->
                            assertThat(help.out()).anyMatch(line -> line.startsWith("  " + command.name() + " ")));
        }

        /** Guards against a command without a text of its own options. */
        @Test
        void eachCommandHasHelp() {
            for (Command command : Main.commands()) {
                CommandRun help = CommandRun.of((command.name() + " --help").split(" "));
                assertThat(help.code()).isEqualTo(ExitCode.DONE);
                assertThat(help.out().get(0)).isEqualTo(command.description());
                assertThat(help.out()).anyMatch(line -> line.startsWith("Usage: lavenderwick " + command.name()));
            }
        }

        /** Guards against a script that takes a wrong command line for a failure, or the reverse. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "shet",
                    "sheet",
                    "sheet chek file.csv",
                    "sheet check",
                    "sheet check a.csv b.csv",
                    "sheet apply a.csv --operator rosa",
                    "sheet apply a.csv --operator rosa --platform localhost:1",
                    "status --operator-address 127.0.0.1",
                    "status --operator-address 127.0.0.1:1 --verbose",
                    "promote --operator-address 127.0.0.1:1",
                    "audit --platform 127.0.0.1:1 --day today",
                    "audit --platform 127.0.0.1:1 --days 0",
                    "audit --platform 127.0.0.1:1 --days x",
                    "audit --platform 127.0.0.1:1 --bind here"
                })
        void refusesAWrongCommandLineInOneLine(String line) {
            CommandRun run = line.isEmpty() ? CommandRun.of() : CommandRun.of(line.split(" "));

            assertThat(run.code()).isEqualTo(ExitCode.USAGE);
            assertThat(run.out()).isEmpty();
            assertThat(run.err()).hasSize(1);
            assertThat(run.err().get(0)).startsWith("lavenderwick: ");
        }

        /** Guards against a version that is not shown. */
        @Test
        void showsItsVersion() {
            assertThat(CommandRun.of("--version").out())
                    .singleElement()
                    .asString()
                    .startsWith("lavenderwick ");
        }
    }

    @Nested
    class Sheets {

        /** Guards against faults that are shown on standard output or not at all. */
        @Test
        void showsAllFaults(@TempDir Path directory) throws Exception {
            Path sheet = directory.resolve("sheet.csv");
            Files.writeString(
                    sheet,
                    Files.readString(EXAMPLE)
                            .replace("dispatch;job-booking", "dispatch;jobs")
                            .replace("0,45", "-1"));

            CommandRun run = CommandRun.of("sheet", "check", sheet.toString());

            assertThat(run.code()).isEqualTo(ExitCode.FAILED);
            assertThat(run.out()).isEmpty();
            assertThat(run.err()).hasSize(3);
            assertThat(run.err().get(0)).startsWith(sheet + ": row 3, column service: ");
            assertThat(run.err().get(1)).startsWith(sheet + ": row ").contains("column floor_share");
            assertThat(run.err().get(2)).startsWith("lavenderwick: The sheet has 2 faults");
        }

        /** Guards against JSON that daemons cannot read. */
        @Test
        void importsAsAConfiguration() throws Exception {
            CommandRun run = CommandRun.of("sheet", "import", EXAMPLE.toString());

            Configuration configuration =
                    JsonMappers.create().readValue(String.join("\n", run.out()), Configuration.class);
            assertThat(run.code()).isEqualTo(ExitCode.DONE);
            assertThat(configuration.groups()).hasSize(3);
            assertThat(configuration.sessionKeys()).isEmpty();
        }

        /** Guards against a stack trace in place of a reason. */
        @Test
        void namesAMissingFile(@TempDir Path directory) {
            Path missing = directory.resolve("missing.csv");

            assertThat(CommandRun.of("sheet", "check", missing.toString()).err())
                    .containsExactly("lavenderwick: The file " + missing + " does not exist. Check its name.");
            assertThat(CommandRun.of("sheet", "check", directory.toString()).err())
                    .hasSize(1);
        }
    }
}
