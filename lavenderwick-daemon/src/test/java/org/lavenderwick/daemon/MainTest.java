package org.lavenderwick.daemon;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class MainTest {
    private final PrintStream originalOut = System.out;
    private final PrintStream originalErr = System.err;
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

    @TempDir
    private Path directory;

    @BeforeEach
    void captureOutput() {
        System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
        System.setErr(new PrintStream(errors, true, StandardCharsets.UTF_8));
    }

    @AfterEach
    void restoreOutput() {
        System.setOut(originalOut);
        System.setErr(originalErr);
    }

    private String errorLine() {
        String text = errors.toString(StandardCharsets.UTF_8);
        assertThat(text.lines()).as("the error output is a single line").hasSize(1);
        return text;
    }

    @Test
    void helpAndVersionArePrintedWithSuccessStatus() {
        assertThat(Main.execute("--help")).isEqualTo(Main.DONE);
        assertThat(output.toString(StandardCharsets.UTF_8)).contains("--settings");
        assertThat(Main.execute("--version")).isEqualTo(Main.DONE);
        assertThat(output.toString(StandardCharsets.UTF_8)).contains("lavenderwickd ");
    }

    @Test
    void unknownOptionIsAUsageError() {
        assertThat(Main.execute("--what")).isEqualTo(Main.USAGE);
        assertThat(errorLine()).startsWith("lavenderwickd: ");
    }

    @Test
    void missingSettingsOptionIsAUsageError() {
        assertThat(Main.execute()).isEqualTo(Main.USAGE);
        assertThat(errorLine()).contains("--settings");
    }

    @Test
    void invalidSettingsAreReportedWithTheirPaths() throws Exception {
        Path file = directory.resolve("settings.json");
        Files.writeString(file, "{\"daemon\":\"d\",\"what\":1}");
        assertThat(Main.execute("--settings", file.toString())).isEqualTo(Main.USAGE);
        assertThat(errorLine()).contains("what: ").contains("failureDomain: ");
    }

    /** The call of the deployment passes by the parser of the options, and must mean the same. */
    @Test
    void deployedCallMeansTheSameAsItsOptionsInAnyOrder() {
        String file = directory.resolve("missing.json").toString();
        assertThat(Main.execute("--sessions", "--settings", file)).isEqualTo(Main.USAGE);
        String deployed = errorLine();
        errors.reset();
        assertThat(Main.execute("--settings", file, "--sessions")).isEqualTo(Main.USAGE);
        assertThat(errorLine()).isEqualTo(deployed).contains("does not exist");
    }

    @Test
    void deployedCallWithoutItsFileIsAUsageError() {
        assertThat(Main.execute("--sessions", "--settings")).isEqualTo(Main.USAGE);
        assertThat(errorLine()).contains("--settings");
    }
}
