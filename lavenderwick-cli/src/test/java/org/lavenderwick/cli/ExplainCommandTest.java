package org.lavenderwick.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class ExplainCommandTest {

    private static final String DETECTED =
            "2026-12-04T08:00:01.000Z INFO [fleet] The primary db-1 of db does not answer.";
    private static final String OTHER_GROUP =
            "2026-12-04T08:00:01.100Z INFO [failover] Starting a failover of other because the primary is leaving"
                    + " (primary x).";
    private static final String BEGUN =
            "2026-12-04T08:00:01.200Z INFO [failover] Starting a failover of db because a majority of the daemons"
                    + " cannot reach the primary (primary db-1).";
    private static final String REFUSED =
            "2026-12-04T08:00:02.000Z INFO [request] 5c0e of orders: NO_ELIGIBLE_ENDPOINT after 120 ms, as no primary at the"
                    + " moment; sent 0 times; group db, configuration 3, primary db-1 in term 1 proven 1500 ms ago.";
    private static final String LONG_AFTER =
            "2026-12-04T08:05:00.000Z INFO [fleet] Configuration 4 is in force with 2 databases.";

    @TempDir
    private Path directory;

    private String first;
    private String second;

    @BeforeEach
    void writeLogs() throws IOException {
        first = write("d1.log", List.of(DETECTED, OTHER_GROUP, "not a log line", REFUSED, LONG_AFTER));
        second = write("d2.log", List.of(BEGUN));
    }

    private String write(String name, List<String> lines) throws IOException {
        return Files.write(directory.resolve(name), lines).toString();
    }

    @Test
    void showsTheRequestAmongTheEventsOfItsGroupOnAllDaemons() {
        CommandRun run = CommandRun.of("explain", "--request", "5c0e", second, first);

        assertThat(run.code()).isEqualTo(ExitCode.DONE);
        assertThat(run.out())
                .containsExactly(
                        "  " + first + ": " + DETECTED, "  " + second + ": " + BEGUN, "> " + first + ": " + REFUSED);
    }

    @Test
    void failsForARequestThatNoLogKnows() {
        CommandRun run = CommandRun.of("explain", "--request", "5c0", first);

        assertThat(run.code()).isEqualTo(ExitCode.FAILED);
        assertThat(run.err().get(0)).contains("No line tells of the request 5c0.");
    }

    @Test
    void failsForALogThatCannotBeRead() {
        String missing = directory.resolve("none.log").toString();

        assertThat(CommandRun.of("explain", "--request", "5c0e", missing).code())
                .isEqualTo(ExitCode.FAILED);
    }
}
