package org.lavenderwick.adapters.caller;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Execution;
import org.lavenderwick.core.error.Failure;

import static org.assertj.core.api.Assertions.assertThat;

class CallerServerTest {
    private static final String SINGLE = "/v1/services/orders/groups/ledger/statements";
    private static final int MAX_BODY_BYTES = 100_000;
    private static final String BEGIN = "/v1/services/orders/groups/ledger/transactions";

    private final List<CallerRequest> seen = new CopyOnWriteArrayList<>();
    private final HttpClient client = HttpClient.newHttpClient();
    private Either<CallerRefusal, CallerAnswer> next = Either.right(new CallerAnswer(
            "[{\"value\":1.10}]".getBytes(StandardCharsets.UTF_8),
            Optional.of("token"),
            Optional.empty(),
            Optional.of("ledger-1"),
            true));
    private CallerServer server;

    @BeforeEach
    void start() throws Exception {
        server = CallerServer.start(
                new InetSocketAddress("127.0.0.1", 0),
                request -> {
                    seen.add(request);
                    return CompletableFuture.completedFuture(next);
                },
                MAX_BODY_BYTES,
                Duration.ofSeconds(10));
    }

    @AfterEach
    void stop() {
        server.close();
    }

    private HttpResponse<String> post(String path, String body) throws Exception {
        return client.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    @Nested
    class WellFormedRequest {
        @Test
        void reachesTheHandlerWithAllItsMembers() throws Exception {
            HttpResponse<String> response = post(
                    SINGLE,
                    "{\"rank\":\"urgent\",\"access\":\"write\",\"statements\":[{\"op\":\"put\",\"value\":1.10}],"
                            + "\"deadlineMs\":2500,\"idempotencyKey\":\"k1\",\"session\":\"s1\"}");
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(response.body())
                    .isEqualTo("{\"results\":[{\"value\":1.10}],\"session\":\"token\","
                            + "\"endpoint\":\"ledger-1\",\"primary\":true}");
            CallerRequest.Single single = (CallerRequest.Single) seen.get(0);
            assertThat(single.write()).isTrue();
            assertThat(single.deadline()).isEqualTo(Duration.ofMillis(2500));
            assertThat(single.idempotencyKey()).contains("k1");
            assertThat(single.session()).contains("s1");
            assertThat(new String(single.statements(), StandardCharsets.UTF_8))
                    .as("numbers keep their digits")
                    .isEqualTo("[{\"op\":\"put\",\"value\":1.10}]");
        }

        @Test
        void stepsOfATransactionReachTheHandler() throws Exception {
            assertThat(post(BEGIN, "{\"rank\":\"urgent\"}").statusCode()).isEqualTo(200);
            assertThat(post("/v1/transactions/h1/statements", "{\"statements\":[{\"op\":\"get\"}]}")
                            .statusCode())
                    .isEqualTo(200);
            assertThat(post("/v1/transactions/h1/commit", "").statusCode()).isEqualTo(200);
            assertThat(post("/v1/transactions/h1/rollback", "{}").statusCode()).isEqualTo(200);
            assertThat(seen).hasSize(4);
            assertThat(((CallerRequest.Step) seen.get(2)).action()).isEqualTo(CallerRequest.Action.COMMIT);
            assertThat(((CallerRequest.Step) seen.get(3)).handle()).isEqualTo("h1");
        }
    }

    @Nested
    class BadRequest {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "{",
                    "[]",
                    "{\"rank\":\"r\",\"access\":\"read\",\"statements\":[{}]} {}",
                    "{\"rank\":\"r\",\"rank\":\"r\",\"access\":\"read\",\"statements\":[{}]}",
                    "{\"rank\":\"r\",\"access\":\"read\",\"statements\":[{}],\"extra\":1}",
                    "{\"rank\":1,\"access\":\"read\",\"statements\":[{}]}",
                    "{\"rank\":\" \",\"access\":\"read\",\"statements\":[{}]}",
                    "{\"rank\":\"r\",\"access\":\"delete\",\"statements\":[{}]}",
                    "{\"rank\":\"r\",\"access\":\"read\",\"statements\":[]}",
                    "{\"rank\":\"r\",\"access\":\"read\",\"statements\":[1]}",
                    "{\"rank\":\"r\",\"access\":\"read\",\"statements\":{}}",
                    "{\"rank\":\"r\",\"access\":\"read\",\"statements\":[{}],\"deadlineMs\":0}",
                    "{\"rank\":\"r\",\"access\":\"read\",\"statements\":[{}],\"deadlineMs\":60001}",
                    "{\"rank\":\"r\",\"access\":\"read\",\"statements\":[{}],\"deadlineMs\":\"5\"}",
                    "{\"rank\":\"r\",\"access\":\"read\",\"statements\":[{}],\"deadlineMs\":1.5}",
                    "{\"rank\":\"r\",\"access\":\"read\",\"statements\":[{}],\"maxStalenessMs\":-1}",
                    "{\"rank\":\"r\",\"access\":\"read\",\"statements\":[{}],\"idempotencyKey\":\"k\"}",
                    "{\"rank\":\"r\",\"access\":\"write\",\"statements\":[{}],\"maxStalenessMs\":5}",
                    "{\"rank\":\"r\",\"access\":\"read\",\"statements\":[{}],\"session\":null}"
                })
        void isRefusedBeforeTheHandlerSeesIt(String body) throws Exception {
            HttpResponse<String> response = post(SINGLE, body);
            assertThat(response.statusCode()).isEqualTo(400);
            assertThat(response.headers().firstValue("content-type")).contains("application/problem+json");
            JsonNode problem = new ObjectMapper().readTree(response.body());
            assertThat(problem.path("kind").asText()).isEqualTo("MALFORMED_REQUEST");
            assertThat(problem.path("ran").asText()).isEqualTo("no");
            assertThat(seen).isEmpty();
        }

        @Test
        void withAnOversizeBodyIsRefused() throws Exception {
            String body = "{\"rank\":\"" + "r".repeat(MAX_BODY_BYTES) + "\"}";
            assertThat(post(SINGLE, body).statusCode()).isEqualTo(413);
            assertThat(seen).isEmpty();
        }

        @Test
        void withAnOversizeBodyOfUnstatedLengthIsRefused() throws Exception {
            byte[] body = new byte[MAX_BODY_BYTES + 1];
            HttpResponse<String> response = client.send(
                    HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + SINGLE))
                            .header("Content-Type", "application/json")
                            .POST(HttpRequest.BodyPublishers.fromPublisher(
                                    HttpRequest.BodyPublishers.ofByteArray(body)))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            assertThat(response.statusCode()).isEqualTo(413);
            assertThat(seen).isEmpty();
        }

        @Test
        void onAnUnknownPathIsRefused() throws Exception {
            assertThat(post("/v1/services/orders/statements", "{}").statusCode())
                    .isEqualTo(400);
            assertThat(seen).isEmpty();
        }
    }

    @Nested
    class Refusal {
        @ParameterizedTest
        @EnumSource(ErrorKind.class)
        void carriesWhatTheTableOfKindsSays(ErrorKind kind) throws Exception {
            next = Either.left(new CallerRefusal(Failure.of(kind, "Why."), Optional.of("fresh")));
            HttpResponse<String> response = post(SINGLE, "{\"rank\":\"r\",\"access\":\"read\",\"statements\":[{}]}");
            JsonNode problem = new ObjectMapper().readTree(response.body());
            assertThat(response.statusCode()).isEqualTo(kind.httpStatus());
            assertThat(problem.path("status").asInt()).isEqualTo(kind.httpStatus());
            assertThat(problem.path("kind").asText()).isEqualTo(kind.name());
            assertThat(problem.path("detail").asText()).isEqualTo("Why.");
            assertThat(problem.path("ran").asText().equals("no")).isEqualTo(kind.execution() == Execution.NOT_RUN);
            assertThat(problem.path("session").asText()).isEqualTo("fresh");
        }
    }
}
