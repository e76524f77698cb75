package org.lavenderwick.cli.bench;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.standins.history.OperationResult;

/**
 * What a caller learned about one request.
 *
 * @param result whether it ran
 * @param value value of the first result, empty if the key has none
 * @param session token that replaces the one of the session
 * @param endpoint the endpoint that ran it
 * @param atPrimary whether the primary ran it
 * @param kind kind of a refusal or failure, {@code no answer} if none came
 */
record Reply(
        OperationResult result,
        Optional<String> value,
        Optional<String> session,
        Optional<EndpointName> endpoint,
        boolean atPrimary,
        String kind) {
    private static final int OK = 200;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns the reply for a request without an answer. */
    static Reply none() {
        return new Reply(
                OperationResult.UNKNOWN, Optional.empty(), Optional.empty(), Optional.empty(), false, "no answer");
    }

    /** Returns the reply that an answer of a daemon holds. */
    static Reply parse(int status, byte[] body) {
        JsonNode root;
        try {
            root = MAPPER.readTree(body);
        } catch (IOException e) {
            return none();
        }
        Optional<String> session = text(root.path("session"));
        if (status == OK) {
            Optional<String> value = text(root.path("results").path(0).path("value"));
            boolean primary = root.path("primary").asBoolean();
            Optional<EndpointName> endpoint = text(root.path("endpoint")).map(EndpointName::of);
            return new Reply(OperationResult.ACKNOWLEDGED, value, session, endpoint, primary, "");
        }
        String kind = root.path("kind").asText();
        return new Reply(
                result(kind, root.path("ran").asText()), Optional.empty(), session, Optional.empty(), false, kind);
    }

    private static OperationResult result(String kind, String ran) {
        if (kind.equals("SESSION_WRITE_LOST")) {
            return OperationResult.SESSION_WRITE_LOST;
        }
        // A rejected statement ran without effect, which for a history is the same as not run.
        boolean withoutEffect = ran.equals("no") || kind.equals("STATEMENT_FAILED");
        return withoutEffect ? OperationResult.NOT_RUN : OperationResult.UNKNOWN;
    }

    private static Optional<String> text(JsonNode node) {
        return node.isTextual() ? Optional.of(node.textValue()) : Optional.empty();
    }
}
