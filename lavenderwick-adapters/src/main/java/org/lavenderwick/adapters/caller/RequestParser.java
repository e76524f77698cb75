package org.lavenderwick.adapters.caller;

import java.io.IOException;
import java.time.Duration;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.cfg.JsonNodeFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.base.Splitter;
import io.vavr.control.Either;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.RankName;
import org.lavenderwick.core.model.ServiceName;

/**
 * Turns the path and the body of a caller's request into a {@link CallerRequest}. Refuses whatever the interface does
 * not define: unknown keys, duplicate keys, wrong types, values out of range, trailing input. Thread-safe.
 */
final class RequestParser {
    /** Longest deadline; bounds how long an abandoned request can hold memory. */
    static final Duration MAX_DEADLINE = Duration.ofSeconds(60);

    /** Longest accepted age of data. */
    static final Duration MAX_STALENESS = Duration.ofDays(1);

    /** Largest number of statements in one request. */
    static final int MAX_STATEMENTS = 1_000;

    /** Longest idempotency key, in characters. */
    static final int MAX_KEY_LENGTH = 200;

    /** Longest session token, in characters; far above what a token with 100 groups takes. */
    static final int MAX_SESSION_LENGTH = 16_384;

    private static final Set<String> SINGLE_KEYS =
            Set.of("rank", "access", "statements", "deadlineMs", "maxStalenessMs", "idempotencyKey", "session");
    private static final Set<String> BEGIN_KEYS = Set.of("rank", "statements", "deadlineMs", "session");
    private static final Set<String> CONTINUE_KEYS = Set.of("statements", "deadlineMs", "session");
    private static final Set<String> END_KEYS = Set.of("deadlineMs", "session");
    private static final byte[] NO_STATEMENTS = {'[', ']'};

    private final JsonMapper mapper = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
            .disable(JsonNodeFeature.STRIP_TRAILING_BIGDECIMAL_ZEROES)
            .build();

    private final Duration defaultDeadline;

    /** Creates a parser that gives requests without a deadline the given one. */
    RequestParser(Duration defaultDeadline) {
        this.defaultDeadline = defaultDeadline;
    }

    /** Parses a request; linear in the size of the body. */
    Either<Failure, CallerRequest> parse(String path, byte[] body) {
        List<String> parts = Splitter.on('/').splitToList(path);
        try {
            if (matches(parts, "", "v1", "services", null, "groups", null, "statements")) {
                return Either.right(single(parts.get(3), parts.get(5), object(body, SINGLE_KEYS)));
            }
            if (matches(parts, "", "v1", "services", null, "groups", null, "transactions")) {
                return Either.right(begin(parts.get(3), parts.get(5), object(body, BEGIN_KEYS)));
            }
            if (matches(parts, "", "v1", "transactions", null, "statements")) {
                JsonNode root = object(body, CONTINUE_KEYS);
                return Either.right(step(parts.get(3), CallerRequest.Action.CONTINUE, statements(root, true), root));
            }
            if (matches(parts, "", "v1", "transactions", null, "commit")) {
                return Either.right(
                        step(parts.get(3), CallerRequest.Action.COMMIT, NO_STATEMENTS, optionalObject(body, END_KEYS)));
            }
            if (matches(parts, "", "v1", "transactions", null, "rollback")) {
                return Either.right(step(
                        parts.get(3), CallerRequest.Action.ROLLBACK, NO_STATEMENTS, optionalObject(body, END_KEYS)));
            }
            return Either.left(Failure.of(ErrorKind.MALFORMED_REQUEST, "The interface has no such path."));
        } catch (MalformedRequestException e) {
            return Either.left(Failure.of(ErrorKind.MALFORMED_REQUEST, e.getMessage()));
        }
    }

    private static boolean matches(List<String> parts, String... pattern) {
        if (parts.size() != pattern.length) {
            return false;
        }
        for (int i = 0; i < pattern.length; i++) {
            String part = parts.get(i);
            if (pattern[i] == null ? part.isBlank() : !pattern[i].equals(part)) {
                return false;
            }
        }
        return true;
    }

    private CallerRequest single(String service, String group, JsonNode root) throws MalformedRequestException {
        String access = text(root, "access", 10).orElseThrow(() -> missing("access"));
        if (!access.equals("read") && !access.equals("write")) {
            throw new MalformedRequestException("Member 'access' is neither 'read' nor 'write'.");
        }
        boolean write = access.equals("write");
        Optional<Duration> maxStaleness = millis(root, "maxStalenessMs", 0, MAX_STALENESS);
        Optional<String> key = text(root, "idempotencyKey", MAX_KEY_LENGTH);
        if (write && maxStaleness.isPresent()) {
            throw new MalformedRequestException("Member 'maxStalenessMs' is for reads only.");
        }
        if (!write && key.isPresent()) {
            throw new MalformedRequestException("Member 'idempotencyKey' is for writes only.");
        }
        return new CallerRequest.Single(
                ServiceName.of(service),
                GroupName.of(group),
                rank(root),
                write,
                statements(root, true),
                deadline(root),
                maxStaleness,
                key,
                text(root, "session", MAX_SESSION_LENGTH));
    }

    private CallerRequest begin(String service, String group, JsonNode root) throws MalformedRequestException {
        return new CallerRequest.Begin(
                ServiceName.of(service),
                GroupName.of(group),
                rank(root),
                root.has("statements") ? statements(root, false) : NO_STATEMENTS,
                deadline(root),
                text(root, "session", MAX_SESSION_LENGTH));
    }

    private CallerRequest step(String handle, CallerRequest.Action action, byte[] statements, JsonNode root)
            throws MalformedRequestException {
        return new CallerRequest.Step(
                handle, action, statements, deadline(root), text(root, "session", MAX_SESSION_LENGTH));
    }

    private JsonNode optionalObject(byte[] body, Set<String> keys) throws MalformedRequestException {
        return body.length == 0 ? mapper.createObjectNode() : object(body, keys);
    }

    private JsonNode object(byte[] body, Set<String> keys) throws MalformedRequestException {
        JsonNode root;
        try {
            root = mapper.readTree(body);
        } catch (JsonProcessingException e) {
            throw new MalformedRequestException("The body is not valid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new MalformedRequestException("The body cannot be read.");
        }
        if (root == null || !root.isObject()) {
            throw new MalformedRequestException("The body is not a JSON object.");
        }
        for (Iterator<String> names = root.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!keys.contains(name)) {
                throw new MalformedRequestException("Member '" + abbreviate(name) + "' is unknown.");
            }
        }
        return root;
    }

    private byte[] statements(JsonNode root, boolean required) throws MalformedRequestException {
        JsonNode node = root.path("statements");
        if (!node.isArray() || (required && node.isEmpty())) {
            throw new MalformedRequestException("Member 'statements' is not an array with a statement.");
        }
        if (node.size() > MAX_STATEMENTS) {
            throw new MalformedRequestException("Member 'statements' has more than " + MAX_STATEMENTS + " entries.");
        }
        for (JsonNode statement : node) {
            if (!statement.isObject()) {
                throw new MalformedRequestException("A statement is not a JSON object.");
            }
        }
        try {
            return mapper.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new MalformedRequestException("The statements cannot be written: " + e.getOriginalMessage());
        }
    }

    private static RankName rank(JsonNode root) throws MalformedRequestException {
        return RankName.of(text(root, "rank", MAX_KEY_LENGTH).orElseThrow(() -> missing("rank")));
    }

    private Duration deadline(JsonNode root) throws MalformedRequestException {
        return millis(root, "deadlineMs", 1, MAX_DEADLINE).orElse(defaultDeadline);
    }

    private static Optional<Duration> millis(JsonNode root, String name, long least, Duration most)
            throws MalformedRequestException {
        JsonNode node = root.get(name);
        if (node == null) {
            return Optional.empty();
        }
        if (!node.isIntegralNumber()
                || !node.canConvertToLong()
                || node.longValue() < least
                || node.longValue() > most.toMillis()) {
            throw new MalformedRequestException(
                    "Member '" + name + "' is not an integer from " + least + " to " + most.toMillis() + ".");
        }
        return Optional.of(Duration.ofMillis(node.longValue()));
    }

    private static Optional<String> text(JsonNode root, String name, int maxLength) throws MalformedRequestException {
        JsonNode node = root.get(name);
        if (node == null) {
            return Optional.empty();
        }
        if (!node.isTextual() || node.textValue().isBlank() || node.textValue().length() > maxLength) {
            throw new MalformedRequestException(
                    "Member '" + name + "' is not a string of 1 to " + maxLength + " characters.");
        }
        return Optional.of(node.textValue());
    }

    private static MalformedRequestException missing(String name) {
        return new MalformedRequestException("Member '" + name + "' is missing.");
    }

    private static String abbreviate(String name) {
        return name.length() <= 40 ? name : name.substring(0, 40) + "…";
    }

    private static final class MalformedRequestException extends Exception {
        MalformedRequestException(String message) {
            super(message);
        }
    }
}
