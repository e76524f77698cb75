package org.lavenderwick.adapters.operator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;
import org.eclipse.jetty.util.thread.Invocable;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.json.JsonMappers;
import org.lavenderwick.adapters.json.ProblemDocuments;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

/** HTTP server for operators and monitoring. */
public final class OperatorServer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(OperatorServer.class);
    private static final int MAX_BODY_BYTES = 10_000;
    private static final int MAX_THREADS = 8;
    private static final int MIN_THREADS = 2;
    private static final String JSON = "application/json";
    // The media type that Prometheus expects of its text format.
    private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private final Server server;
    private final ServerConnector connector;

    private OperatorServer(Server server, ServerConnector connector) {
        this.server = server;
        this.connector = connector;
    }

    /** Starts a server on the address; port 0 takes a free port. */
    public static OperatorServer start(InetSocketAddress address, OperatorHandler handler) throws Exception {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName("operators");
        threads.setDaemon(true);
        Server server = new Server(threads);
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        ServerConnector connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
        connector.setHost(address.getAddress().getHostAddress());
        connector.setPort(address.getPort());
        server.addConnector(connector);
        server.setHandler(new PortHandler(handler));
        server.start();
        return new OperatorServer(server, connector);
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return connector.getLocalPort();
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            LOG.warnf("[operator] Stopping the server failed: %s", e.toString());
        }
    }

    /** Body of an order to change the primary. */
    private record PromoteOrder(GroupName group, Optional<EndpointName> endpoint) {}

    private static final class PortHandler extends Handler.Abstract {
        private final OperatorHandler handler;
        private final JsonMapper mapper = JsonMappers.create();
        private final ObjectReader promoteReader =
                mapper.readerFor(PromoteOrder.class).with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

        PortHandler(OperatorHandler handler) {
            this.handler = handler;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws JsonProcessingException {
            switch (request.getMethod() + " " + Request.getPathInContext(request)) {
                case "GET /health" -> sendJson(response, callback, 200, Map.of("healthy", true));
                case "GET /ready" -> {
                    boolean ready = handler.ready();
                    sendJson(response, callback, ready ? 200 : 503, Map.of("ready", ready));
                }
                case "GET /metrics" ->
                    send(
                            response,
                            callback,
                            200,
                            METRICS_TYPE,
                            handler.metrics().getBytes(StandardCharsets.UTF_8));
                case "GET /status" -> sendJson(response, callback, 200, handler.status());
                case "POST /drain" -> {
                    handler.drain();
                    sendJson(response, callback, 202, Map.of("draining", true));
                }
                case "POST /promote" -> promote(request, response, callback);
                default -> {
                    return false;
                }
            }
            return true;
        }

        private void promote(Request request, Response response, Callback callback) {
            Content.Source.asByteArrayAsync(
                    request,
                    MAX_BODY_BYTES,
                    Promise.Invocable.from(Invocable.InvocationType.NON_BLOCKING, (body, error) -> {
                        if (error != null) {
                            refuse(
                                    response,
                                    callback,
                                    Failure.of(
                                            ErrorKind.MALFORMED_REQUEST, "The body cannot be read or is too large."));
                            return;
                        }
                        order(body).whenComplete((result, failed) -> {
                            if (failed != null) {
                                LOG.errorf(failed, "[operator] A promotion order failed.");
                                refuse(response, callback, Failure.of(ErrorKind.INTERNAL_ERROR, "The proxy failed."));
                            } else if (result.isLeft()) {
                                refuse(response, callback, result.getLeft());
                            } else {
                                accept(response, callback, result.get());
                            }
                        });
                    }));
        }

        private CompletableFuture<Either<Failure, String>> order(byte[] body) {
            PromoteOrder order;
            try {
                order = promoteReader.readValue(body);
            } catch (IOException e) {
                return CompletableFuture.completedFuture(Either.left(Failure.of(
                        ErrorKind.MALFORMED_REQUEST,
                        "The body is not an object with 'group' and, optionally, 'endpoint'.")));
            }
            if (order.group() == null) {
                return CompletableFuture.completedFuture(
                        Either.left(Failure.of(ErrorKind.MALFORMED_REQUEST, "Member 'group' is missing.")));
            }
            return handler.promote(order.group(), order.endpoint());
        }

        private void accept(Response response, Callback callback, String detail) {
            try {
                sendJson(response, callback, 202, Map.of("detail", detail));
            } catch (JsonProcessingException e) {
                callback.failed(e);
            }
        }

        private void sendJson(Response response, Callback callback, int status, Object body)
                throws JsonProcessingException {
            send(response, callback, status, JSON, mapper.writeValueAsBytes(body));
        }

        private static void refuse(Response response, Callback callback, Failure failure) {
            send(
                    response,
                    callback,
                    failure.kind().httpStatus(),
                    ProblemDocuments.MEDIA_TYPE,
                    ProblemDocuments.write(failure, Optional.empty()));
        }

        private static void send(Response response, Callback callback, int status, String type, byte[] body) {
            response.setStatus(status);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
            response.write(true, ByteBuffer.wrap(body), callback);
        }
    }
}
