package org.lavenderwick.scenarios;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lavenderwick.cli.cluster.LocalCluster;
import org.lavenderwick.standins.EndpointHistoryRecorder;
import org.lavenderwick.standins.StandinFleet;
import org.lavenderwick.standins.history.AppliedWrite;

import static org.assertj.core.api.Assertions.assertThat;

/** Daemons in processes of their own that end by signals, in front of stand-ins in this process. */
class ProcessesTest {
    private final Instant origin = Instant.now();
    private final EndpointHistoryRecorder recorder = new EndpointHistoryRecorder(origin);
    private final Records records = new Records(origin);
    private final List<String> callerAddresses = new CopyOnWriteArrayList<>();
    private final Callers callers = new Callers(() -> callerAddresses, records);
    private final HttpClient client = HttpClient.newHttpClient();

    @TempDir
    private Path directory;

    private StandinFleet fleet;
    private Host first;
    private Host second;

    private record Host(Process process, String callers, String operators) {}

    @BeforeEach
    void start() throws Exception {
        fleet = StandinFleet.start(
                ScenarioCluster.configuration(), StandinFleet.Options.standard().withHistory(recorder));
        fleet.publishConfiguration();
        first = daemon("first", "domain-1", "127.0.1.31");
        second = daemon("second", "domain-2", "127.0.2.31");
        for (Host host : List.of(first, second)) {
            await("ready daemon", () -> status(host) == 200);
            callerAddresses.add(host.callers());
        }
    }

    @AfterEach
    void stop() throws Exception {
        for (Host host : new Host[] {first, second}) {
            if (host != null) {
                host.process().destroyForcibly().waitFor(10, TimeUnit.SECONDS);
            }
        }
        callers.stop();
        fleet.close();
    }

    private Host daemon(String name, String domain, String address) throws IOException {
        int callerPort = freePort(address);
        int operatorPort = freePort(address);
        Path settings = directory.resolve(name + ".json");
        Files.writeString(settings, """
                {"daemon":"%s","failureDomain":"%s","address":"%s","callerPort":%d,"operatorPort":%d,"peerPort":%d,
                 "platformAddress":"%s"}
                """.formatted(
                        name,
                        domain,
                        address,
                        callerPort,
                        operatorPort,
                        freePort(address),
                        fleet.platform().address()));
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.lavenderwick.daemon.Main",
                        "--settings",
                        settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(directory.resolve(name + ".log").toFile())
                .start();
        return new Host(process, address + ":" + callerPort, address + ":" + operatorPort);
    }

    private static int freePort(String address) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
            return socket.getLocalPort();
        }
    }

    private int status(Host host) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + host.operators() + "/ready"))
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private void await(String what, BooleanSupplier condition) throws InterruptedException {
        LocalCluster.await(what, Duration.ofSeconds(60), condition);
    }

    private void awaitWrites(int count) throws InterruptedException {
        int from = records.size();
        await(count + " acknowledged writes", () -> records.count(from, Records.Seen::acknowledgedWrite) >= count);
    }

    @Test
    void oneIsKilledInsideTransactionsAndTheOtherEndsGracefully() throws Exception {
        callers.start(8, "urgent", 3_000);
        awaitWrites(100);
        List<String> abandoned = List.of(
                callers.create("normal", 3_000).abandonTransaction(),
                callers.create("normal", 3_000).abandonTransaction());
        first.process().destroyForcibly();
        assertThat(first.process().waitFor(10, TimeUnit.SECONDS)).isTrue();
        callerAddresses.remove(first.callers());
        awaitWrites(100);
        await(
                "roll back of open transactions",
                () -> fleet.endpoints().stream()
                        .allMatch(endpoint -> endpoint.status().openTransactions() == 0));
        assertThat(recorder.writes().stream().map(AppliedWrite::value)).doesNotContainAnyElementsOf(abandoned);

        int beforeTerm = records.size();
        Duration term = records.now();
        second.process().destroy();
        assertThat(second.process().waitFor(60, TimeUnit.SECONDS)).isTrue();
        callers.stop();
        assertThat(second.process().exitValue()).isZero();
        assertThat(records.select(
                        beforeTerm,
                        seen -> seen.operation().invokedAt().compareTo(term) < 0
                                && (seen.kind().endsWith("NO_ANSWER")
                                        || seen.kind().endsWith("OUTCOME_UNKNOWN")
                                        || seen.kind().endsWith("TRANSACTION_ABORTED"))))
                .as("requests in flight at the signal that were cut off")
                .isEmpty();
        Histories.assertKept(records, 0, recorder.writes(), recorder.openings((group, number) -> false));
    }
}
