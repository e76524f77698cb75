package org.lavenderwick.daemon.peer;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderwick.protocol.ExchangeRequest;
import org.lavenderwick.protocol.ExchangeResponse;
import org.lavenderwick.protocol.RelayRequest;
import org.lavenderwick.protocol.RelayResponse;
import org.lavenderwick.protocol.WireAction;

import static org.assertj.core.api.Assertions.assertThat;

class PeerClientTest {
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final EchoHandler handler = new EchoHandler();
    private PeerServer server;
    private PeerClient client;

    @BeforeEach
    void startServerAndClient() throws Exception {
        server = PeerServer.start(new InetSocketAddress("127.0.2.1", 0), handler);
        client = PeerClient.create(InetAddress.getByName("127.0.1.1"), timer);
    }

    @AfterEach
    void closeClientAndServer() {
        client.close();
        server.close();
        timer.shutdownNow();
    }

    private static RelayRequest request(String id) {
        return new RelayRequest(
                id, "s", "g", "r", true, WireAction.SINGLE, ByteBuffer.wrap(new byte[] {'[', ']'}), 1_000, 1, false);
    }

    private Either<PeerFailure, RelayResponse> call(String id, Duration timeout) throws Exception {
        return client.execute("127.0.2.1:" + server.port(), request(id), timeout)
                .get(30, TimeUnit.SECONDS);
    }

    @Test
    void everyConcurrentCallReceivesItsOwnResponse() throws Exception {
        List<CompletableFuture<Either<PeerFailure, RelayResponse>>> calls = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            calls.add(client.execute("127.0.2.1:" + server.port(), request("id-" + i), LONG_TIMEOUT));
        }
        for (int i = 0; i < 100; i++) {
            assertThat(calls.get(i).get(30, TimeUnit.SECONDS).get().getRequestId())
                    .isEqualTo("id-" + i);
        }
        assertThat(client.openConnections()).isBetween(1, 100);
    }

    @Test
    void missingResponseIsNotReportedAsNotSent() throws Exception {
        handler.unresponsive = true;
        assertThat(call("a", Duration.ofMillis(300)).getLeft()).isEqualTo(PeerFailure.NO_ANSWER);
        handler.unresponsive = false;
        assertThat(call("b", LONG_TIMEOUT).get().getRequestId())
                .as("response to a call after one without a response, whose connection must not be reused")
                .isEqualTo("b");
    }

    @Test
    void refusedConnectionIsReportedAsNotSent() throws Exception {
        int unusedPort;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.2.1"))) {
            unusedPort = socket.getLocalPort();
        }
        assertThat(client.execute("127.0.2.1:" + unusedPort, request("a"), LONG_TIMEOUT)
                        .get(30, TimeUnit.SECONDS)
                        .getLeft())
                .isEqualTo(PeerFailure.NOT_SENT);
        assertThat(client.openConnections()).isZero();
    }

    @Test
    void pooledConnectionClosedByThePeerIsNotReused() throws Exception {
        call("a", LONG_TIMEOUT);
        int port = server.port();
        server.close();
        server = PeerServer.start(new InetSocketAddress("127.0.2.1", port), handler);
        assertThat(call("b", LONG_TIMEOUT).isRight()).isTrue();
    }

    private static final class EchoHandler implements PeerHandler {
        private volatile boolean unresponsive;

        @Override
        public CompletableFuture<RelayResponse> execute(RelayRequest request) {
            return unresponsive
                    ? new CompletableFuture<>()
                    : CompletableFuture.completedFuture(new RelayResponse(request.getRequestId()));
        }

        @Override
        public CompletableFuture<ExchangeResponse> exchange(ExchangeRequest request) {
            return CompletableFuture.completedFuture(new ExchangeResponse(request.getDigest()));
        }
    }
}
