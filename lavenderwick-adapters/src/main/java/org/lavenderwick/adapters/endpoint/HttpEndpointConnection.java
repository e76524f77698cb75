package org.lavenderwick.adapters.endpoint;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import org.lavenderwick.adapters.endpoint.EndpointMessages.ControlAnswer;
import org.lavenderwick.adapters.endpoint.EndpointMessages.ControlRequest;
import org.lavenderwick.adapters.endpoint.EndpointMessages.ExecuteAnswer;
import org.lavenderwick.adapters.endpoint.EndpointMessages.ExecuteRequest;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.Term;

/** An endpoint connection over one TCP connection. Thread-safe. */
final class HttpEndpointConnection implements EndpointConnection {

    private final EndpointChannel channel;
    private final String connectionId;
    private final JsonMapper mapper;
    private final AtomicLong controlCalls = new AtomicLong();

    HttpEndpointConnection(EndpointChannel channel, String connectionId, JsonMapper mapper) {
        this.channel = channel;
        this.connectionId = connectionId;
        this.mapper = mapper;
    }

    @Override
    public CompletableFuture<Either<Failure, EndpointReply>> execute(EndpointRequest request, Duration timeout) {
        JsonNode statements;
        try {
            statements = mapper.readTree(request.statements());
        } catch (IOException e) {
            return CompletableFuture.completedFuture(
                    Either.left(Failure.of(ErrorKind.MALFORMED_REQUEST, "The statements are not JSON.")));
        }
        ExecuteRequest body = new ExecuteRequest(
                connectionId,
                request.requestId(),
                request.group(),
                request.write(),
                request.step(),
                statements,
                request.expectedTerm(),
                request.minimumPoint(),
                request.maxStaleness().map(Duration::toMillis),
                request.idempotencyKey());
        return channel.post(
                        "/execute",
                        request.requestId(),
                        body,
                        ExecuteAnswer.class,
                        answer -> complete(answer) ? answer.requestId() : null,
                        timeout)
                .thenApply(answer -> answer.map(this::reply));
    }

    @Override
    public CompletableFuture<Either<Failure, EndpointStatus>> status(Duration timeout) {
        return control("/status", Optional.empty(), Optional.empty(), timeout);
    }

    @Override
    public CompletableFuture<Either<Failure, EndpointStatus>> seal(Term term, Duration timeout) {
        return control("/seal", Optional.of(term), Optional.empty(), timeout);
    }

    @Override
    public CompletableFuture<Either<Failure, EndpointStatus>> promote(Term term, long startPosition, Duration timeout) {
        return control("/promote", Optional.of(term), Optional.of(startPosition), timeout);
    }

    @Override
    public boolean open() {
        return channel.open();
    }

    @Override
    public void close() {
        channel.close();
    }

    private CompletableFuture<Either<Failure, EndpointStatus>> control(
            String path, Optional<Term> term, Optional<Long> startPosition, Duration timeout) {
        String requestId = connectionId + "-" + controlCalls.incrementAndGet();
        return channel.post(
                        path,
                        requestId,
                        new ControlRequest(connectionId, requestId, term, startPosition),
                        ControlAnswer.class,
                        answer -> answer.status() == null ? null : answer.requestId(),
                        timeout)
                .thenApply(answer -> answer.map(ControlAnswer::status));
    }

    private static boolean complete(ExecuteAnswer answer) {
        return answer.outcome() != null
                && answer.status() != null
                && (answer.outcome() != EndpointOutcome.DONE
                        || (answer.results() != null && answer.results().isArray()));
    }

    private EndpointReply reply(ExecuteAnswer answer) {
        Optional<byte[]> results =
                answer.outcome() == EndpointOutcome.DONE ? Optional.of(bytes(answer.results())) : Optional.empty();
        String detail = answer.detail() == null ? "" : answer.detail();
        return new EndpointReply(answer.requestId(), answer.outcome(), results, detail, answer.status());
    }

    private byte[] bytes(JsonNode results) {
        try {
            return mapper.writeValueAsBytes(results);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a parsed JSON tree has no JSON form", e);
        }
    }
}
