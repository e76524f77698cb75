package org.lavenderwick.scenarios;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.lavenderwick.standins.history.OperationResult;

/** Speaks the callers' interface. Thread-safe. */
final class CallerClient {
    static final String STATEMENTS = "/v1/services/orders/groups/ledger/statements";
    static final String TRANSACTIONS = "/v1/services/orders/groups/ledger/transactions";

    /** Far longer than any deadline of a request, so that only a daemon that never answers runs into it. */
    private static final Duration ANSWER_BOUND = Duration.ofSeconds(25);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient http = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5))
            .build();

    /**
     * An answer to a caller.
     *
     * @param status HTTP status, 0 if none came
     * @param body the body, missing if none came
     */
    record Answer(int status, JsonNode body) {
        static final Answer NONE = new Answer(0, MissingNode.getInstance());

        boolean done() {
            return status == 200;
        }

        String kind() {
            return done() ? "DONE" : body.path("kind").asText("NO_ANSWER");
        }

        String endpoint() {
            return body.path("endpoint").asText();
        }

        OperationResult result() {
            if (done()) {
                return OperationResult.ACKNOWLEDGED;
            }
            if (kind().equals("SESSION_WRITE_LOST")) {
                return OperationResult.SESSION_WRITE_LOST;
            }
            // A rejected statement ran, but is promised to have changed nothing.
            boolean withoutEffect = body.path("ran").asText().equals("no") || kind().equals("STATEMENT_FAILED");
            return withoutEffect ? OperationResult.NOT_RUN : OperationResult.UNKNOWN;
        }
    }

    /** Sends a request to IP address and port of a daemon and waits for the answer. */
    Answer post(String address, String path, String body) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .header("Content-Type", "application/json")
                .timeout(ANSWER_BOUND)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), MAPPER.readTree(response.body()));
        } catch (IOException e) {
            return Answer.NONE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Answer.NONE;
        }
    }
}
