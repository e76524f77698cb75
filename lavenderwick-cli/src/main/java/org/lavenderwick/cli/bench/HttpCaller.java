package org.lavenderwick.cli.bench;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Sends requests to daemons without blocking. Thread-safe. */
final class HttpCaller implements AutoCloseable {
    private static final int MAX_THREADS = 16;

    /** Beyond every backlog of a run, so that no request waits in the client. */
    private static final int MAX_CONNECTIONS = 8_000;

    private final HttpClient client = new HttpClient();

    private HttpCaller() {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS);
        threads.setName("caller");
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.setMaxRequestsQueuedPerDestination(MAX_CONNECTIONS);
        client.setConnectBlocking(false);
    }

    /** Returns a started caller. */
    static HttpCaller start() throws Exception {
        HttpCaller caller = new HttpCaller();
        caller.client.start();
        return caller;
    }

    /** Posts a JSON body; the reply never completes exceptionally. */
    CompletableFuture<Reply> post(String url, String body, Duration timeout) {
        CompletableFuture<Reply> reply = new CompletableFuture<>();
        client.newRequest(url)
                .method(HttpMethod.POST)
                .body(new StringRequestContent("application/json", body))
                .timeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .send(new BufferingResponseListener() {
                    @Override
                    public void onComplete(Result result) {
                        reply.complete(
                                result.isFailed()
                                        ? Reply.none()
                                        : Reply.parse(result.getResponse().getStatus(), getContent()));
                    }
                });
        return reply;
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the caller does not stop", e);
        }
    }
}
