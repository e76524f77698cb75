package org.lavenderwick.adapters.endpoint;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.util.thread.Scheduler;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

/**
 * One TCP connection to an endpoint, with at most one request under way. The first request that gets no complete and
 * matching answer closes it, so that a late answer can never be taken for the answer to another request. Thread-safe.
 */
final class EndpointChannel {

    /** Bound of one answer, so that a faulty endpoint cannot exhaust the memory of the daemon. */
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

    private final HttpClient client;
    private final Connection connection;
    private final String origin;
    private final JsonMapper mapper;
    private final AtomicBoolean busy = new AtomicBoolean();
    private final AtomicBoolean closed = new AtomicBoolean();

    EndpointChannel(HttpClient client, Connection connection, String origin, JsonMapper mapper) {
        this.client = client;
        this.connection = connection;
        this.origin = origin;
        this.mapper = mapper;
    }

    boolean open() {
        return !closed.get() && !connection.isClosed();
    }

    void close() {
        if (closed.compareAndSet(false, true)) {
            connection.close();
        }
    }

    /**
     * Sends one request and waits for its answer. Fails with {@code NO_ELIGIBLE_ENDPOINT} only if nothing was sent.
     */
    <A> CompletableFuture<Either<Failure, A>> post(
            String path, String requestId, Object body, Class<A> type, Function<A, String> idOf, Duration timeout) {
        byte[] bytes;
        try {
            bytes = mapper.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            return failed(ErrorKind.MALFORMED_REQUEST, "The request has no JSON form: " + e.getOriginalMessage());
        }
        if (!open()) {
            return failed(ErrorKind.NO_ELIGIBLE_ENDPOINT, "The connection to the endpoint is closed.");
        }
        if (!busy.compareAndSet(false, true)) {
            return failed(ErrorKind.NO_ELIGIBLE_ENDPOINT, "Another request is under way on the connection.");
        }
        Call<A> call = new Call<>(requestId, type, idOf);
        Request request = client.newRequest(origin + path)
                .method(HttpMethod.POST)
                .body(new BytesRequestContent("application/json", bytes))
                .onRequestHeaders(sending -> call.sent.set(true));
        call.start(request, timeout);
        return call.future;
    }

    private static <A> CompletableFuture<Either<Failure, A>> failed(ErrorKind kind, String detail) {
        return CompletableFuture.completedFuture(Either.left(Failure.of(kind, detail)));
    }

    private final class Call<A> extends BufferingResponseListener {

        private final String requestId;
        private final Class<A> type;
        private final Function<A, String> idOf;
        private final CompletableFuture<Either<Failure, A>> future = new CompletableFuture<>();
        private final AtomicBoolean finished = new AtomicBoolean();
        private final AtomicBoolean sent = new AtomicBoolean();
        private volatile Scheduler.Task timer;

        Call(String requestId, Class<A> type, Function<A, String> idOf) {
            super(MAX_ANSWER_BYTES);
            this.requestId = requestId;
            this.type = type;
            this.idOf = idOf;
        }

        void start(Request request, Duration timeout) {
            try {
                timer = client.getScheduler()
                        .schedule(
                                () -> fail("No answer within " + timeout.toMillis() + " ms."),
                                timeout.toMillis(),
                                TimeUnit.MILLISECONDS);
                connection.send(request, this);
            } catch (RuntimeException e) {
                fail("The request could not be sent: " + e.getMessage());
            }
        }

        @Override
        public void onComplete(Result result) {
            if (result.isFailed()) {
                fail("The answer is incomplete: " + result.getFailure());
                return;
            }
            if (result.getResponse().getStatus() != HttpStatus.OK_200) {
                fail("The endpoint answered with status " + result.getResponse().getStatus() + ".");
                return;
            }
            A answer;
            try {
                answer = mapper.readValue(getContent(), type);
            } catch (IOException | RuntimeException e) {
                fail("The answer is malformed.");
                return;
            }
            if (answer == null || !requestId.equals(idOf.apply(answer))) {
                fail("The answer belongs to another request.");
            } else if (finished.compareAndSet(false, true)) {
                timer.cancel();
                busy.set(false);
                future.complete(Either.right(answer));
            }
        }

        private void fail(String detail) {
            if (!finished.compareAndSet(false, true)) {
                return;
            }
            Scheduler.Task scheduled = timer;
            if (scheduled != null) {
                scheduled.cancel();
            }
            // Reads the flag after the close: a request that is not on the wire by then can no longer be sent.
            close();
            ErrorKind kind = sent.get() ? ErrorKind.OUTCOME_UNKNOWN : ErrorKind.NO_ELIGIBLE_ENDPOINT;
            Either<Failure, A> outcome = Either.left(Failure.of(kind, detail));
            try {
                // The scheduler thread must not run the continuations of callers.
                client.getExecutor().execute(() -> future.complete(outcome));
            } catch (RejectedExecutionException e) {
                future.complete(outcome);
            }
        }
    }
}
