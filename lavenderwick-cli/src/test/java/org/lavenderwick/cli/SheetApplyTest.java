package org.lavenderwick.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Base64;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lavenderwick.adapters.audit.AuditLog;
import org.lavenderwick.adapters.json.JsonMappers;
import org.lavenderwick.adapters.platform.HttpPlatformPort;
import org.lavenderwick.adapters.platform.PlatformPort;
import org.lavenderwick.adapters.sheet.Sheet;
import org.lavenderwick.adapters.sheet.SheetImport;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.model.ServiceName;
import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.core.time.TokenBucket;
import org.lavenderwick.standins.PlatformFaults;
import org.lavenderwick.standins.PlatformServer;
import org.lavenderwick.standins.StandinRuntime;

import static org.assertj.core.api.Assertions.assertThat;

class SheetApplyTest {

    private static final Path EXAMPLES = Path.of("..", "examples");
    private static final MonotonicClock CLOCK = () -> Duration.ofNanos(System.nanoTime());

    private final StandinRuntime runtime = StandinRuntime.start();
    private final PlatformServer server = PlatformServer.start(runtime, "127.0.0.1", 0, CLOCK, Duration.ZERO);
    private final String platform = server.address();

    @AfterEach
    void stop() {
        server.close();
        runtime.close();
    }

    private CommandRun apply(String sheet, String operator) {
        return CommandRun.of(
                "sheet", "apply", EXAMPLES.resolve(sheet).toString(), "--platform", platform, "--operator", operator);
    }

    private Configuration inForce() throws Exception {
        return JsonMappers.create()
                .readValue(server.read("configuration/current").orElseThrow().value(), Configuration.class);
    }

    @Nested
    class Applying {

        /** Guards against a first configuration without which daemons cannot seal tokens. */
        @Test
        void makesTheFirstSessionKey() throws Exception {
            CommandRun run = apply("keenedge.csv", "rosa");

            assertThat(run.code()).as("%s", run).isEqualTo(ExitCode.DONE);
            assertThat(run.out()).containsExactly("Version 1 is in force (before: none).");
            assertThat(inForce().version()).isEqualTo(1);
            assertThat(inForce().sessionKeys())
                    .singleElement()
                    .satisfies(key -> assertThat(Base64.getDecoder().decode(key.secretBase64()))
                            .hasSize(32));
        }

        /** Guards against an import that invalidates all session tokens, and against a version for no change. */
        @Test
        void keepsSessionKeysAndCountsVersions() throws Exception {
            apply("keenedge.csv", "rosa");
            Configuration first = inForce();

            assertThat(apply("keenedge.csv", "rosa").out())
                    .containsExactly("Version 1 stays in force: the sheet changes nothing.");
            assertThat(apply("huancahuasi.csv", "luis").out().get(0))
                    .isEqualTo("Version 2 is in force (before: version 1).");
            assertThat(inForce().sessionKeys()).isEqualTo(first.sessionKeys());
            assertThat(inForce().services()).containsKey(ServiceName.of("kiln-schedule"));
        }

        /** Guards against a change that nobody can be asked about. */
        @Test
        void writesTheAuditLog() {
            apply("keenedge.csv", "rosa");
            apply("huancahuasi.csv", "luis");

            assertThat(CommandRun.of("audit", "--platform", platform, "--days", "2")
                            .out())
                    .satisfiesExactly(
                            line -> assertThat(line).endsWith("  rosa  configuration  none -> version 1"),
                            line -> assertThat(line)
                                    .endsWith("  luis  configuration  version 1 -> version 2: services 3 set, "
                                            + "3 removed; groups 3 set, 3 removed; planned stops 1"));
        }

        /** Guards against a sheet with a fault that is applied in part. */
        @Test
        void refusesASheetWithAFault(@TempDir Path directory) throws Exception {
            Path sheet = directory.resolve("sheet.csv");
            Files.writeString(sheet, "kind,name\nservice,desk\n");

            CommandRun run =
                    CommandRun.of("sheet", "apply", sheet.toString(), "--platform", platform, "--operator", "rosa");
            assertThat(run.code()).isEqualTo(ExitCode.FAILED);
            assertThat(server.read("configuration/current")).isEmpty();
        }

        /** Guards against a hang or a stack trace when the platform is down. */
        @Test
        void failsWhenThePlatformIsDown() {
            server.faults(PlatformFaults.NONE.withAvailability(PlatformFaults.Availability.REFUSES));

            CommandRun run = apply("keenedge.csv", "rosa");
            assertThat(run.code()).isEqualTo(ExitCode.FAILED);
            assertThat(run.err()).singleElement().asString().contains("nothing was changed");
        }
    }

    @Nested
    class Races {

        private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
        private final PlatformPort port = HttpPlatformPort.create(
                platform, "127.0.0.1", Duration.ofSeconds(2), TokenBucket.of(1000, 1000, CLOCK));
        private final ByteArrayOutputStream err = new ByteArrayOutputStream();
        private boolean swapped;

        @AfterEach
        void stop() {
            executor.shutdownNow();
            port.close();
        }

        private ExitCode applyThrough(PlatformPort through) throws Exception {
            Sheet sheet = SheetImport.parse(Files.readAllBytes(EXAMPLES.resolve("keenedge.csv")))
                    .get();
            PrintStream stream = new PrintStream(err, true, StandardCharsets.UTF_8);
            AuditLog audit = AuditLog.create(port, executor, CLOCK, new Random(1));
            return new SheetApplication(
                            through,
                            audit,
                            InstantSource.system(),
                            new SecureRandom(),
                            Terminal.of(new PrintStream(new ByteArrayOutputStream()), stream))
                    .apply(sheet, "rosa");
        }

        /** Returns the port with an action before the first swap and one before each read after it. */
        private PlatformPort around(Runnable beforeSwap, Runnable beforeLaterRead) {
            return (PlatformPort) Proxy.newProxyInstance(
                    PlatformPort.class.getClassLoader(),
                    new Class<?>[] {PlatformPort.class},
                    (proxy, called, values) -> {
                        if (called.getName().equals("compareAndSwap") && !swapped) {
                            swapped = true;
                            beforeSwap.run();
                        } else if (called.getName().equals("read") && swapped) {
                            beforeLaterRead.run();
                        }
                        try {
                            return called.invoke(port, values);
                        } catch (InvocationTargetException e) {
                            throw e.getCause();
                        }
                    });
        }

        /** Guards against an operator who overwrites the change of another one without knowing. */
        @Test
        void theSecondOperatorGetsAConflict() throws Exception {
            ExitCode code = applyThrough(around(() -> apply("huancahuasi.csv", "luis"), () -> {}));

            assertThat(code).isEqualTo(ExitCode.FAILED);
            assertThat(err.toString(StandardCharsets.UTF_8))
                    .contains("Another operator changed the configuration first (in force: version 1)");
            assertThat(inForce().services()).containsKey(ServiceName.of("kiln-schedule"));
            assertThat(CommandRun.of("audit", "--platform", platform, "--days", "2")
                            .out())
                    .hasSize(1);
        }

        /** Guards against a failure that is reported although the change is in force and audited. */
        @Test
        void aLostAnswerIsReadBack() throws Exception {
            PlatformPort losing = around(
                    () -> server.faults(PlatformFaults.NONE.withLostAnswers(1, 3)),
                    () -> server.faults(PlatformFaults.NONE));

            assertThat(applyThrough(losing)).isEqualTo(ExitCode.DONE);
            assertThat(inForce().version()).isEqualTo(1);
            assertThat(CommandRun.of("audit", "--platform", platform, "--days", "2")
                            .out())
                    .hasSize(1);
        }
    }
}
