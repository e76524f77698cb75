package org.lavenderwick.adapters.endpoint;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.net.HostAndPort;
import io.vavr.control.Either;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Origin;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.Scheduler;
import org.lavenderwick.adapters.endpoint.EndpointMessages.ConnectAnswer;
import org.lavenderwick.adapters.endpoint.EndpointMessages.ConnectRequest;
import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Opens endpoint connections over HTTP/1.1. Each is one TCP connection that is taken directly from the client, outside
 * its pools, so that it is never shared or replaced. The client keeps one destination object for each endpoint address,
 * however many connections open and close. Thread-safe.
 */
public final class HttpEndpointPort implements EndpointPort {

    /** Threads for answers; callers' continuations run on them and must not block. */
    private static final int MAX_THREADS = 16;

    private static final int MIN_THREADS = 4;

    /** The operating system's own limit would hold a socket for minutes; a call's timeout is usually shorter. */
    private static final Duration TCP_CONNECT_TIMEOUT = Duration.ofSeconds(5);

    private final HttpClient client;
    private final JsonMapper mapper;

    private HttpEndpointPort(HttpClient client, JsonMapper mapper) {
        this.client = client;
        this.mapper = mapper;
    }

    /** Returns a started port whose connections leave from the given local IP address. */
    public static HttpEndpointPort create(String bindAddress) {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName("endpoint-client");
        threads.setDaemon(true);
        ClientConnector connector = new ClientConnector();
        connector.setSelectors(1);
        connector.setExecutor(threads);
        connector.setBindAddress(new InetSocketAddress(bindAddress, 0));
        connector.setConnectTimeout(TCP_CONNECT_TIMEOUT);
        connector.setIdleTimeout(Duration.ZERO);
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        client.setExecutor(threads);
        client.setConnectTimeout(TCP_CONNECT_TIMEOUT.toMillis());
        client.setIdleTimeout(0);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        try {
            client.start();
        } catch (Exception e) {
            throw new IllegalStateException("the endpoint client does not start", e);
        }
        client.getContentDecoderFactories().clear();
        client.getProtocolHandlers().clear();
        return new HttpEndpointPort(client, EndpointMessages.createMapper());
    }

    @Override
    public CompletableFuture<Either<Failure, EndpointConnection>> connect(EndpointSettings endpoint, Duration timeout) {
        checkArgument(!timeout.isNegative() && !timeout.isZero(), "timeout is not positive");
        HostAndPort address = HostAndPort.fromString(endpoint.address());
        Origin origin =
                new Origin("http", address.getHost(), address.getPort(), null, HttpClientTransportOverHTTP.HTTP11);
        Attempt attempt = new Attempt(endpoint, timeout);
        try {
            attempt.timer = client.getScheduler()
                    .schedule(
                            () -> client.getExecutor().execute(attempt::expire),
                            timeout.toMillis(),
                            TimeUnit.MILLISECONDS);
            Destination destination = client.resolveDestination(origin);
            destination.newConnection(attempt);
        } catch (RuntimeException e) {
            attempt.failed(e);
        }
        return attempt.future;
    }

    /** Returns the number of destinations that the client keeps. */
    int destinations() {
        return client.getDestinations().size();
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the endpoint client does not stop", e);
        }
    }

    /** One attempt to open a connection: TCP connect, then {@code POST /connect}. */
    private final class Attempt implements Promise<Connection> {

        private final EndpointSettings endpoint;
        private final Duration timeout;
        private final CompletableFuture<Either<Failure, EndpointConnection>> future = new CompletableFuture<>();
        private final AtomicBoolean finished = new AtomicBoolean();
        private volatile Scheduler.Task timer;
        private volatile EndpointChannel channel;

        Attempt(EndpointSettings endpoint, Duration timeout) {
            this.endpoint = endpoint;
            this.timeout = timeout;
        }

        @Override
        public void succeeded(Connection connection) {
            channel = new EndpointChannel(client, connection, "http://" + endpoint.address(), mapper);
            if (finished.get()) {
                channel.close();
                return;
            }
            String requestId = UUID.randomUUID().toString();
            channel.post(
                            "/connect",
                            requestId,
                            new ConnectRequest(requestId),
                            ConnectAnswer.class,
                            answer -> answer.connectionId() == null ? null : answer.requestId(),
                            timeout)
                    .thenAccept(answer -> answer.peek(this::granted)
                            .peekLeft(failure -> refuse("Endpoint " + endpoint.name() + ": " + failure.detail())));
        }

        @Override
        public void failed(Throwable cause) {
            refuse("Endpoint " + endpoint.name() + " cannot be reached: " + cause.getMessage());
        }

        void expire() {
            refuse("Endpoint " + endpoint.name() + " did not accept a connection within " + timeout.toMillis()
                    + " ms.");
        }

        private void granted(ConnectAnswer answer) {
            if (finished.compareAndSet(false, true)) {
                timer.cancel();
                future.complete(Either.right(new HttpEndpointConnection(channel, answer.connectionId(), mapper)));
            } else {
                channel.close();
            }
        }

        private void refuse(String detail) {
            if (finished.compareAndSet(false, true)) {
                Scheduler.Task scheduled = timer;
                if (scheduled != null) {
                    scheduled.cancel();
                }
                EndpointChannel opened = channel;
                if (opened != null) {
                    opened.close();
                }
                future.complete(Either.left(Failure.of(ErrorKind.NO_ELIGIBLE_ENDPOINT, detail)));
            }
        }
    }
}
