package org.lavenderwick.adapters.operator;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

import static org.assertj.core.api.Assertions.assertThat;

class OperatorServerTest {
    private final FakeHandler handler = new FakeHandler();
    private final HttpClient client = HttpClient.newHttpClient();
    private OperatorServer server;

    @BeforeEach
    void start() throws Exception {
        server = OperatorServer.start(new InetSocketAddress("127.0.0.1", 0), handler);
    }

    @AfterEach
    void stop() {
        server.close();
    }

    private HttpResponse<String> call(String method, String path, String body) throws Exception {
        return client.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void readinessFollowsTheDaemonWhileHealthDoesNot() throws Exception {
        assertThat(call("GET", "/ready", "").statusCode()).isEqualTo(503);
        assertThat(call("GET", "/health", "").statusCode()).isEqualTo(200);
        handler.ready = true;
        assertThat(call("GET", "/ready", "").statusCode()).isEqualTo(200);
    }

    @Test
    void statusAndMetricsComeFromTheDaemon() throws Exception {
        assertThat(call("GET", "/status", "").body()).isEqualTo("{\"daemon\":\"d1\"}");
        assertThat(call("GET", "/metrics", "").body()).isEqualTo("requests_total 1\n");
    }

    @Test
    void drainReachesTheDaemonByPostOnly() throws Exception {
        assertThat(call("GET", "/drain", "").statusCode()).isEqualTo(404);
        assertThat(handler.drained).isFalse();
        assertThat(call("POST", "/drain", "").statusCode()).isEqualTo(202);
        assertThat(handler.drained).isTrue();
    }

    @Test
    void promotionOrderIsCheckedAndItsFailureReported() throws Exception {
        assertThat(call("POST", "/promote", "{}").statusCode()).isEqualTo(400);
        assertThat(call("POST", "/promote", "{\"group\":\"g\",\"when\":1}").statusCode())
                .isEqualTo(400);
        assertThat(call("POST", "/promote", "{\"group\":\"absent\"}").statusCode())
                .isEqualTo(404);
        assertThat(call("POST", "/promote", "{\"group\":\"g\",\"endpoint\":\"e2\"}")
                        .body())
                .contains("e2");
    }

    private static final class FakeHandler implements OperatorHandler {
        private volatile boolean ready;
        private volatile boolean drained;

        @Override
        public boolean ready() {
            return ready;
        }

        @Override
        public Object status() {
            return Map.of("daemon", "d1");
        }

        @Override
        public String metrics() {
            return "requests_total 1\n";
        }

        @Override
        public void drain() {
            drained = true;
        }

        @Override
        public CompletableFuture<Either<Failure, String>> promote(GroupName group, Optional<EndpointName> target) {
            return CompletableFuture.completedFuture(
                    group.value().equals("g")
                            ? Either.right("Promoting " + target)
                            : Either.left(Failure.of(ErrorKind.UNKNOWN_GROUP, "No such group.")));
        }
    }
}
