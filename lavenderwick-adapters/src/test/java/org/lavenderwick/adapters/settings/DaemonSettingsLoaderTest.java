package org.lavenderwick.adapters.settings;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import io.vavr.control.Either;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class DaemonSettingsLoaderTest {

    private static final String REQUIRED = """
            "daemon": "arq-1", "failureDomain": "arq-yura", "address": "127.0.3.10",
            "callerPort": 8080, "operatorPort": 8081, "peerPort": 8082, "platformAddress": "127.0.9.1:7000"
            """;

    private static List<String> paths(Either<List<SettingsProblem>, DaemonSettings> result) {
        assertThat(result.isLeft()).isTrue();
        return result.getLeft().stream().map(SettingsProblem::path).toList();
    }

    @Nested
    class Accepting {

        /** Guards against defaults that differ from the documented ones. */
        @Test
        void fillsInDefaults() {
            DaemonSettings settings =
                    DaemonSettingsLoader.parse("{" + REQUIRED + "}").get();

            assertThat(settings.timeouts()).isEqualTo(Timeouts.DEFAULTS);
            assertThat(settings.logFormat()).isEqualTo(LogFormat.TEXT);
            assertThat(settings.peers()).isEmpty();
            assertThat(settings.peerAddress()).isEqualTo("127.0.3.10:8082");
        }

        /** Guards against a stated value that is read but not used. */
        @Test
        void takesStatedValues() {
            DaemonSettings settings = DaemonSettingsLoader.parse("{" + REQUIRED
                            + ", \"peers\": [\"127.0.1.10:8082\", \"[::1]:8082\"], \"trafficThreads\": 3,"
                            + "\"maxRequestBytes\": 4096, \"logFormat\": \"json\","
                            + "\"timeouts\": {\"requestMs\": 1, \"endpointMs\": 2, \"connectMs\": 3, \"relayMs\": 4,"
                            + "\"platformMs\": 5, \"exchangeMs\": 6, \"drainMs\": 7}}")
                    .get();

            assertThat(settings.peers()).containsExactly("127.0.1.10:8082", "[::1]:8082");
            assertThat(settings.trafficThreads()).isEqualTo(3);
            assertThat(settings.maxRequestBytes()).isEqualTo(4096);
            assertThat(settings.logFormat()).isEqualTo(LogFormat.JSON);
            assertThat(settings.timeouts())
                    .isEqualTo(new Timeouts(
                            Duration.ofMillis(1),
                            Duration.ofMillis(2),
                            Duration.ofMillis(3),
                            Duration.ofMillis(4),
                            Duration.ofMillis(5),
                            Duration.ofMillis(6),
                            Duration.ofMillis(7)));
        }
    }

    @Nested
    class Refusing {

        /** Guards against operators who must start the daemon once for each fault. */
        @Test
        void reportsAllProblemsAtOnce() {
            String json = """
                    {"daemon": 7, "failureDomain": " ", "address": "localhost", "callerPort": "80", "operatorPort": 1.5,
                     "peerPort": 70000, "peers": ["127.0.1.1", 3, "127.0.1.1:1"], "threads": 4, "logFormat": "xml",
                     "timeouts": {"drainMs": 0, "drain": 5}}
                    """;

            assertThat(paths(DaemonSettingsLoader.parse(json)))
                    .containsExactlyInAnyOrder(
                            "daemon",
                            "failureDomain",
                            "address",
                            "callerPort",
                            "operatorPort",
                            "peerPort",
                            "platformAddress",
                            "peers[0]",
                            "peers[1]",
                            "threads",
                            "logFormat",
                            "timeouts.drainMs",
                            "timeouts.drain");
        }

        /** Guards against a stack trace in place of a reason. */
        @ParameterizedTest
        @ValueSource(
                strings = {"", "{", "[]", "null", "3", "{} {}", "{\"daemon\": \"a\", \"daemon\": \"b\"}", "{\"a\""})
        void namesWhatIsNoSettingsObject(String json) {
            assertThat(paths(DaemonSettingsLoader.parse(json))).isNotEmpty();
        }

        /** Guards against null, which JSON allows in place of any value. */
        @Test
        void refusesNull() {
            assertThat(paths(DaemonSettingsLoader.parse(
                            "{" + REQUIRED + ", \"peers\": null, \"timeouts\": null, \"trafficThreads\": null}")))
                    .containsExactlyInAnyOrder("peers", "timeouts", "trafficThreads");
        }

        /** Guards against two servers on one port. */
        @Test
        void refusesEqualPorts() {
            assertThat(paths(DaemonSettingsLoader.parse("{" + REQUIRED.replace("8081", "8080") + "}")))
                    .containsExactly("callerPort, operatorPort, peerPort");
        }

        /** Guards against a file that is missing or no text. */
        @Test
        void namesTheFile(@TempDir Path directory) throws Exception {
            Path binary = Files.write(directory.resolve("binary.json"), new byte[] {(byte) 0xc3, 0x28});

            assertThat(paths(DaemonSettingsLoader.load(directory.resolve("missing.json"))))
                    .containsExactly(directory.resolve("missing.json").toString());
            assertThat(paths(DaemonSettingsLoader.load(binary))).containsExactly(binary.toString());
            assertThat(paths(DaemonSettingsLoader.load(directory))).containsExactly(directory.toString());
        }
    }
}
