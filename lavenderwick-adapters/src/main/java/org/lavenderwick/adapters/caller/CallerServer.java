package org.lavenderwick.adapters.caller;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
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
import org.lavenderwick.adapters.json.ProblemDocuments;
import org.lavenderwick.core.error.ErrorKind;

/**
 * HTTP server for callers. A request that reached the handler runs to its end even if the caller disconnects; only the
 * answer is dropped then.
 */
public final class CallerServer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(CallerServer.class);
    /** Connections not yet accepted; callers of a stopped daemon reconnect all at once. */
    private static final int BACKLOG = 4_096;

    private static final int MAX_THREADS = 64;
    private static final int MIN_THREADS = 4;
    // Above the longest deadline, so that the server never ends a connection that waits for an answer.
    private static final Duration IDLE_TIMEOUT = RequestParser.MAX_DEADLINE.plusSeconds(30);

    private final Server server;
    private final ServerConnector connector;

    private CallerServer(Server server, ServerConnector connector) {
        this.server = server;
        this.connector = connector;
    }

    /**
     * Starts a server.
     *
     * @param address address to listen on; port 0 takes a free port
     * @param handler serves the requests
     * @param maxBodyBytes largest request body
     * @param defaultDeadline deadline of requests that state none
     */
    public static CallerServer start(
            InetSocketAddress address, RequestHandler handler, int maxBodyBytes, Duration defaultDeadline)
            throws Exception {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, MIN_THREADS);
        threads.setName("callers");
        threads.setDaemon(true);
        Server server = new Server(threads);
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        ServerConnector connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
        connector.setHost(address.getAddress().getHostAddress());
        connector.setPort(address.getPort());
        connector.setAcceptQueueSize(BACKLOG);
        connector.setIdleTimeout(IDLE_TIMEOUT.toMillis());
        server.addConnector(connector);
        server.setHandler(new CallerHandler(handler, maxBodyBytes, defaultDeadline));
        server.start();
        return new CallerServer(server, connector);
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
            LOG.warnf("[caller] Stopping the server failed: %s", e.toString());
        }
    }

    private static final class CallerHandler extends Handler.Abstract.NonBlocking {
        private final RequestHandler handler;
        private final int maxBodyBytes;
        private final RequestParser parser;
        private final AnswerWriter writer = new AnswerWriter();

        CallerHandler(RequestHandler handler, int maxBodyBytes, Duration defaultDeadline) {
            this.handler = handler;
            this.maxBodyBytes = maxBodyBytes;
            this.parser = new RequestParser(defaultDeadline);
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            if (!HttpMethod.POST.is(request.getMethod())) {
                refuse(response, callback, ErrorKind.MALFORMED_REQUEST, "The interface takes POST requests only.");
                return true;
            }
            if (request.getLength() > maxBodyBytes) {
                refuse(response, callback, ErrorKind.REQUEST_TOO_LARGE, tooLarge());
                return true;
            }
            String contentType = request.getHeaders().get(HttpHeader.CONTENT_TYPE);
            if (request.getLength() != 0 && !isJson(contentType)) {
                refuse(response, callback, ErrorKind.MALFORMED_REQUEST, "The content type is not application/json.");
                return true;
            }
            Content.Source.asByteArrayAsync(
                    request,
                    maxBodyBytes + 1,
                    Promise.Invocable.from(Invocable.InvocationType.NON_BLOCKING, (body, error) -> {
                        if (error instanceof IllegalStateException || (body != null && body.length > maxBodyBytes)) {
                            refuse(response, callback, ErrorKind.REQUEST_TOO_LARGE, tooLarge());
                        } else if (error != null) {
                            callback.failed(error);
                        } else {
                            serve(Request.getPathInContext(request), body, response, callback);
                        }
                    }));
            return true;
        }

        private void serve(String path, byte[] body, Response response, Callback callback) {
            CompletableFuture<Either<CallerRefusal, CallerAnswer>> outcome;
            try {
                outcome = parser.parse(path, body)
                        .fold(
                                failure -> CompletableFuture.completedFuture(Either.left(CallerRefusal.of(failure))),
                                handler::handle);
            } catch (RuntimeException e) {
                outcome = CompletableFuture.failedFuture(e);
            }
            outcome.whenComplete((result, error) -> {
                if (error != null) {
                    LOG.errorf(error, "[caller] A request failed.");
                    refuse(response, callback, ErrorKind.INTERNAL_ERROR, "The proxy failed.");
                } else if (result.isLeft()) {
                    refuse(response, callback, result.getLeft());
                } else {
                    send(response, callback, 200, "application/json", writer.write(result.get()));
                }
            });
        }

        private void refuse(Response response, Callback callback, ErrorKind kind, String detail) {
            refuse(response, callback, CallerRefusal.of(kind, detail));
        }

        private void refuse(Response response, Callback callback, CallerRefusal refusal) {
            int status = refusal.failure().kind().httpStatus();
            send(
                    response,
                    callback,
                    status,
                    ProblemDocuments.MEDIA_TYPE,
                    ProblemDocuments.write(refusal.failure(), refusal.session()));
        }

        private static void send(Response response, Callback callback, int status, String type, byte[] body) {
            response.setStatus(status);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
            response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
            response.write(true, ByteBuffer.wrap(body), callback);
        }

        private static boolean isJson(String contentType) {
            return contentType != null && contentType.split(";", 2)[0].trim().equalsIgnoreCase("application/json");
        }

        private String tooLarge() {
            return "The body is larger than " + maxBodyBytes + " bytes.";
        }
    }
}
