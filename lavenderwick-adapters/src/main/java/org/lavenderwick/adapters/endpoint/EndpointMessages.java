package org.lavenderwick.adapters.endpoint;

import java.util.Optional;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.cfg.JsonNodeFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.lavenderwick.adapters.json.JsonMappers;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;

/** JSON bodies of the protocol between proxy and endpoint. Each answer repeats the id of its request. */
public final class EndpointMessages {

    private EndpointMessages() {}

    /** Returns a mapper for these messages that keeps all digits of numbers in statements and results. */
    public static JsonMapper createMapper() {
        return JsonMappers.create()
                .rebuild()
                .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
                .disable(JsonNodeFeature.STRIP_TRAILING_BIGDECIMAL_ZEROES)
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .build();
    }

    /**
     * Body of {@code POST /connect}, the first request on a TCP connection.
     *
     * @param requestId id of the request
     */
    public record ConnectRequest(String requestId) {}

    /**
     * Answer to {@code POST /connect}.
     *
     * @param requestId id of the request
     * @param connectionId id that later requests on the same TCP connection repeat
     * @param status state of the endpoint
     */
    public record ConnectAnswer(String requestId, String connectionId, EndpointStatus status) {}

    /**
     * Body of {@code POST /execute}.
     *
     * @param connectionId id granted by {@code /connect} to this TCP connection
     * @param requestId id of the request
     * @param group the database group
     * @param write whether the statements may change data
     * @param step place within a transaction
     * @param statements array of statements
     * @param expectedTerm term that the endpoint must be primary of
     * @param minimumPoint point that the endpoint's log must have reached
     * @param maxStalenessMs age in milliseconds that the endpoint's data must not exceed
     * @param idempotencyKey key under which the endpoint records the result
     */
    public record ExecuteRequest(
            String connectionId,
            String requestId,
            GroupName group,
            boolean write,
            TransactionStep step,
            JsonNode statements,
            Optional<Term> expectedTerm,
            Optional<LogPoint> minimumPoint,
            Optional<Long> maxStalenessMs,
            Optional<String> idempotencyKey) {}

    /**
     * Answer to {@code POST /execute}.
     *
     * @param requestId id of the request
     * @param outcome what the endpoint did
     * @param results array with one result a statement; empty unless the outcome is {@code DONE}
     * @param detail plain sentence for other outcomes
     * @param status state of the endpoint
     */
    public record ExecuteAnswer(
            String requestId, EndpointOutcome outcome, JsonNode results, String detail, EndpointStatus status) {}

    /**
     * Body of {@code POST /status}, {@code /seal} and {@code /promote}.
     *
     * @param connectionId id granted by {@code /connect} to this TCP connection
     * @param requestId id of the request
     * @param term the term to seal or to promote to
     * @param startPosition for a promotion, position of the last entry before the term
     */
    public record ControlRequest(
            String connectionId, String requestId, Optional<Term> term, Optional<Long> startPosition) {}

    /**
     * Answer to {@code POST /status}, {@code /seal} and {@code /promote}.
     *
     * @param requestId id of the request
     * @param status state of the endpoint
     */
    public record ControlAnswer(String requestId, EndpointStatus status) {}
}
