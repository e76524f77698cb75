package org.lavenderwick.cli.bench;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.cli.CommandLine;
import org.lavenderwick.cli.ExitCode;
import org.lavenderwick.cli.Terminal;

import static org.assertj.core.api.Assertions.assertThat;

class DemoCommandTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private ExitCode run(String... arguments) {
        return CommandLine.of(List.of(new DemoCommand(), new BenchCommand()))
                .run(Terminal.of(new PrintStream(out, true), new PrintStream(err, true)), arguments);
    }

    @Nested
    class Demo {

        /** Guards against a demo that ends well without a failover, or whose report scripts cannot read. */
        @Test
        void resumesWritesInALaterTermWithoutViolations() throws Exception {
            assertThat(run("demo", "--json", "--seconds", "12"))
                    .as(err.toString(StandardCharsets.UTF_8))
                    .isEqualTo(ExitCode.DONE);
            JsonNode report = new ObjectMapper().readTree(out.toByteArray());
            assertThat(report.fieldNames())
                    .toIterable()
                    .contains(
                            "deployment",
                            "policy",
                            "seed",
                            "scenario",
                            "replicaReadShare",
                            "replicaReadCeiling",
                            "failoverWriteGapMs",
                            "ranks",
                            "worthServedRatio",
                            "busiestMinute",
                            "violations");
            assertThat(report.path("violations")).isNotEmpty().allMatch(count -> count.asInt() == 0);
            assertThat(report.path("ranks"))
                    .hasSize(3)
                    .allMatch(rank -> rank.path("served").asInt() > 0);
            assertThat(report.path("busiestMinute").path("connections").asInt()).isPositive();
        }
    }

    @Nested
    class Misuse {

        /** Guards against a run of another load than the one asked for. */
        @Test
        void refusesUnknownNames() {
            assertThat(run("bench", "--deployment", "nowhere")).isEqualTo(ExitCode.USAGE);
            assertThat(run("bench", "--deployment", "keenedge", "--scenario", "failover+storm"))
                    .isEqualTo(ExitCode.USAGE);
            assertThat(run("bench", "--deployment", "keenedge", "--policy", "best"))
                    .isEqualTo(ExitCode.USAGE);
            assertThat(run("demo", "--seconds", "1")).isEqualTo(ExitCode.USAGE);
        }
    }
}
