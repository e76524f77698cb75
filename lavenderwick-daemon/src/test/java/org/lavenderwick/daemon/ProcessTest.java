package org.lavenderwick.daemon;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/** Runs the daemon program in a separate process. */
class ProcessTest {
    private static final String ADDRESS = "127.0.1.99";

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    @TempDir
    private Path directory;

    private int getStatusCode(int port, String path) {
        try {
            return client.send(
                            HttpRequest.newBuilder(URI.create("http://" + ADDRESS + ":" + port + path))
                                    .build(),
                            HttpResponse.BodyHandlers.ofString())
                    .statusCode();
        } catch (IOException e) {
            return -1;
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private CompletableFuture<HttpResponse<String>> write(int port, int number) {
        return client.sendAsync(
                HttpRequest.newBuilder(URI.create("http://" + ADDRESS + ":" + port + TestCluster.STATEMENTS))
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(TestCluster.putRequest("process-" + number, "v")))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private List<CompletableFuture<HttpResponse<String>>> sendWrites(int port, int first) {
        return IntStream.range(first, first + 40)
                .mapToObj(number -> write(port, number))
                .toList();
    }

    @Test
    void sigtermRespondsToAcceptedRequestsAndExitsWithStatusZeroAndJsonLog() throws Exception {
        try (TestCluster cluster = TestCluster.start(3)) {
            int callerPort = TestCluster.freePort(ADDRESS);
            int operatorPort = TestCluster.freePort(ADDRESS);
            Path settings = directory.resolve("settings.json");
            Files.writeString(settings, """
                    {"daemon":"process","failureDomain":"domain-1","address":"%s","callerPort":%d,
                     "operatorPort":%d,"peerPort":%d,"platformAddress":"%s","logFormat":"json"}
                    """.formatted(
                            ADDRESS,
                            callerPort,
                            operatorPort,
                            TestCluster.freePort(ADDRESS),
                            cluster.fleet().platform().address()));
            Path log = directory.resolve("log");
            Process process = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-cp",
                            System.getProperty("java.class.path"),
                            "org.lavenderwick.daemon.Main",
                            "--settings",
                            settings.toString())
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile())
                    .start();
            try {
                cluster.await("readiness", () -> getStatusCode(operatorPort, "/ready"), status -> status == 200);
                // The first batch of writes opens the connections that the second one uses.
                sendWrites(callerPort, 0)
                        .forEach(response -> assertThat(response.join().statusCode())
                                .as(response.join().body())
                                .isEqualTo(200));
                List<CompletableFuture<HttpResponse<String>>> responses = sendWrites(callerPort, 40);
                responses.get(0).join();
                process.destroy();
                for (CompletableFuture<HttpResponse<String>> response : responses) {
                    assertThat(response.join().statusCode())
                            .as(response.join().body())
                            .isIn(200, 503);
                }
                assertThat(process.waitFor(60, TimeUnit.SECONDS)).isTrue();
                assertThat(process.exitValue()).isZero();
            } finally {
                process.destroyForcibly();
            }
            ObjectMapper mapper = new ObjectMapper();
            assertThat(Files.readAllLines(log))
                    .isNotEmpty()
                    .allSatisfy(line -> assertThat(
                                    mapper.readTree(line).path("message").asText())
                            .startsWith("["));
        }
    }
}
