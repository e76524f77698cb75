package org.lavenderwick.adapters.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.lavenderwick.adapters.json.JsonMappers;
import org.lavenderwick.adapters.platform.PlatformMessages.Keys;
import org.lavenderwick.adapters.platform.PlatformMessages.LeaseRequest;
import org.lavenderwick.adapters.platform.PlatformMessages.Released;
import org.lavenderwick.adapters.platform.PlatformMessages.Written;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.time.TokenBucket;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The platform's key-value service over HTTP. Each call takes one token of the call budget and is sent at most once:
 * after a lost answer only the caller can tell whether a repeated write is safe. Thread-safe.
 */
public final class HttpPlatformPort implements PlatformPort {

    private static final int MAX_THREADS = 8;

    private static final int MIN_THREADS = 3;

    /** JSON may take up to six bytes for one byte of a value, and a list of keys may be long. */
    private static final int MAX_ANSWER_BYTES = 6 * MAX_VALUE_BYTES + 64 * 1024;

    private final HttpClient client;
    private final String origin;
    private final Duration callTimeout;
    private final TokenBucket budget;
    private final JsonMapper mapper = JsonMappers.create();

    private HttpPlatformPort(HttpClient client, String origin, Duration callTimeout, TokenBucket budget) {
        this.client = client;
        this.origin = origin;
        this.callTimeout = callTimeout;
        this.budget = budget;
    }

    /**
     * Returns a started port.
     *
     * @param platformAddress IP address and port of the platform
     * @param bindAddress local IP address from which connections leave
     * @param callTimeout time for one call; a watch may take its wait on top
     * @param budget bound of the number of calls
     */
    public static HttpPlatformPort create(
            String platformAddress, String bindAddress, Duration callTimeout, TokenBucket budget) {
        checkArgument(!callTimeout.isNegative() && !callTimeout.isZero(), "call timeout is not positive");
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName("platform-client");
        threads.setDaemon(true);
        ClientConnector connector = new ClientConnector();
        connector.setSelectors(1);
        connector.setExecutor(threads);
        connector.setBindAddress(new InetSocketAddress(bindAddress, 0));
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        client.setExecutor(threads);
        client.setConnectTimeout(callTimeout.toMillis());
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        try {
            client.start();
        } catch (Exception e) {
            throw new IllegalStateException("the platform client does not start", e);
        }
        client.getContentDecoderFactories().clear();
        client.getProtocolHandlers().clear();
        return new HttpPlatformPort(client, "http://" + platformAddress, callTimeout, budget);
    }

    @Override
    public CompletableFuture<Either<Failure, Optional<VersionedValue>>> read(String key) {
        return send(
                request(HttpMethod.GET, "/kv/" + encode(key)),
                callTimeout,
                answer -> answer.status() == HttpStatus.NOT_FOUND_404
                        ? Optional.empty()
                        : Optional.of(answer.as(VersionedValue.class)));
    }

    @Override
    public CompletableFuture<Either<Failure, Long>> compareAndSwap(String key, String value, long expectedRevision) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MAX_VALUE_BYTES) {
            return failed(ErrorKind.REQUEST_TOO_LARGE, "The value of " + key + " is above the platform's limit.");
        }
        Request request = request(HttpMethod.PUT, "/kv/" + encode(key) + "?expected=" + expectedRevision)
                .body(new BytesRequestContent("text/plain;charset=utf-8", bytes));
        return send(request, callTimeout, answer -> answer.as(Written.class).revision());
    }

    @Override
    public CompletableFuture<Either<Failure, Optional<VersionedValue>>> watch(
            String key, long afterRevision, Duration wait) {
        String path = "/watch/" + encode(key) + "?after=" + afterRevision + "&waitMs=" + wait.toMillis();
        return send(
                request(HttpMethod.GET, path),
                wait.plus(callTimeout),
                answer -> answer.status() == HttpStatus.NO_CONTENT_204
                        ? Optional.empty()
                        : Optional.of(answer.as(VersionedValue.class)));
    }

    @Override
    public CompletableFuture<Either<Failure, List<String>>> list(String prefix) {
        Request request = request(HttpMethod.GET, "/list?prefix=" + encode(prefix));
        return send(request, callTimeout, answer -> answer.as(Keys.class).keys());
    }

    @Override
    public CompletableFuture<Either<Failure, Lease>> acquireLease(String name, String holder, Duration ttl) {
        Request request =
                request(HttpMethod.POST, "/leases").body(json(new LeaseRequest(name, holder, ttl.toMillis())));
        return send(request, callTimeout, answer -> answer.as(Lease.class));
    }

    @Override
    public CompletableFuture<Either<Failure, Lease>> renewLease(Lease lease) {
        Request request = request(HttpMethod.POST, "/leases/" + encode(lease.name()) + "/renew")
                .body(json(lease));
        return send(request, callTimeout, answer -> answer.as(Lease.class));
    }

    @Override
    public CompletableFuture<Either<Failure, Boolean>> releaseLease(Lease lease) {
        String path = "/leases/" + encode(lease.name()) + "?token=" + lease.fencingToken();
        return send(
                request(HttpMethod.DELETE, path),
                callTimeout,
                answer -> answer.as(Released.class).released());
    }

    @Override
    public CompletableFuture<Either<Failure, List<HostEntry>>> hosts() {
        return send(request(HttpMethod.GET, "/hosts"), callTimeout, answer -> List.of(answer.as(HostEntry[].class)));
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the platform client does not stop", e);
        }
    }

    private Request request(HttpMethod method, String path) {
        return client.newRequest(origin + path).method(method);
    }

    /** Percent-encodes a key, so that its slashes stay within one path segment. */
    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }

    private BytesRequestContent json(Object body) {
        try {
            return new BytesRequestContent("application/json", mapper.writeValueAsBytes(body));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a message has no JSON form", e);
        }
    }

    private <A> CompletableFuture<Either<Failure, A>> send(Request request, Duration timeout, Reader<A> reader) {
        if (!budget.tryAcquire()) {
            return failed(ErrorKind.PLATFORM_UNAVAILABLE, "The budget of platform calls is used up; nothing was sent.");
        }
        CompletableFuture<Either<Failure, A>> future = new CompletableFuture<>();
        request.timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
        try {
            request.send(new BufferingResponseListener(MAX_ANSWER_BYTES) {
                @Override
                public void onComplete(Result result) {
                    complete(future, evaluate(result, getContent(), reader));
                }
            });
        } catch (RuntimeException e) {
            future.complete(unavailable("The call could not be sent: " + e.getMessage()));
        }
        return future;
    }

    private <A> void complete(CompletableFuture<Either<Failure, A>> future, Either<Failure, A> outcome) {
        try {
            // A timeout ends on the scheduler thread, which must not run the continuations of callers.
            client.getExecutor().execute(() -> future.complete(outcome));
        } catch (RuntimeException e) {
            future.complete(outcome);
        }
    }

    private <A> Either<Failure, A> evaluate(Result result, byte[] content, Reader<A> reader) {
        if (result.isFailed()) {
            return unavailable("The platform gave no answer: " + result.getFailure());
        }
        int status = result.getResponse().getStatus();
        if (status == HttpStatus.CONFLICT_409) {
            return Either.left(Failure.of(ErrorKind.VERSION_CONFLICT, "Another writer or holder was first."));
        }
        if (status == HttpStatus.PAYLOAD_TOO_LARGE_413) {
            return Either.left(Failure.of(ErrorKind.REQUEST_TOO_LARGE, "The value is above the platform's limit."));
        }
        try {
            return Either.right(reader.read(new Answer(status, content, mapper)));
        } catch (IOException | RuntimeException e) {
            return unavailable("The platform answered with status " + status + " and an unusable body.");
        }
    }

    private static <A> Either<Failure, A> unavailable(String detail) {
        return Either.left(Failure.of(ErrorKind.PLATFORM_UNAVAILABLE, detail));
    }

    private static <A> CompletableFuture<Either<Failure, A>> failed(ErrorKind kind, String detail) {
        return CompletableFuture.completedFuture(Either.left(Failure.of(kind, detail)));
    }

    private interface Reader<A> {
        A read(Answer answer) throws IOException;
    }

    private record Answer(int status, byte[] content, JsonMapper mapper) {
        <T> T as(Class<T> type) throws IOException {
            if (status != HttpStatus.OK_200) {
                throw new IOException("unexpected status " + status);
            }
            T value = mapper.readValue(content, type);
            if (value == null) {
                throw new IOException("empty answer");
            }
            return value;
        }
    }
}
