package org.lavenderwick.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.beust.jcommander.Parameter;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import org.lavenderwick.adapters.json.JsonMappers;

/** Option that names a daemon's operators' port, and the calls to it. */
final class OperatorClient {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);

    /** A planned change of primary answers when it is done or refused. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(30);

    private static final int FIRST_ERROR_STATUS = 400;

    @Parameter(
            names = {"--operator-address"},
            description = "IP address and operators' port of the daemon.",
            required = true,
            validateWith = AddressOption.class)
    private String address;

    private final JsonMapper mapper = JsonMappers.create();

    String address() {
        return address;
    }

    /** Returns the body of the answer, or why there is none. */
    Either<String, JsonNode> get(String path) {
        return call(request(path).GET().build());
    }

    /** Sends a JSON body; returns the body of the answer, or why the daemon refused or did not answer. */
    Either<String, JsonNode> post(String path, Object body) {
        try {
            return call(request(path)
                    .header("Content-Type", "application/json")
                    .POST(HttpRequest.BodyPublishers.ofString(mapper.writeValueAsString(body)))
                    .build());
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a request has no JSON form", e);
        }
    }

    /** Returns the readable form of an answer. */
    String pretty(JsonNode answer) {
        return answer.toPrettyString();
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(CALL_TIMEOUT);
    }

    private Either<String, JsonNode> call(HttpRequest request) {
        HttpClient client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            JsonNode body = mapper.readTree(response.body());
            if (response.statusCode() < FIRST_ERROR_STATUS) {
                return Either.right(body);
            }
            String detail = body.path("detail").asText("");
            return Either.left("The daemon refused with status " + response.statusCode()
                    + (detail.isEmpty() ? "." : ": " + detail));
        } catch (JsonProcessingException e) {
            return Either.left("The answer of " + address + " is no JSON.");
        } catch (IOException e) {
            return Either.left("The daemon at " + address + " does not answer ("
                    + e.getClass().getSimpleName() + ").");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left("The call was interrupted.");
        }
    }
}
