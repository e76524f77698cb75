package org.lavenderwick.daemon.session;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.balancing.BalancingSettings;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.platform.LineCallerCodec;
import org.lavenderwick.platform.LineEndpointCodec;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests what the proxy does between two iterations of a busy event loop. */
class SessionProxyTest {

    private static final int TIMEOUT_SECONDS = 10;

    private final MonotonicClock clock = () -> Duration.ofNanos(System.nanoTime());
    private final AtomicReference<Duration> wallOffset = new AtomicReference<>(Duration.ZERO);
    private EventLoop loop;
    private SessionProxy proxy;

    @BeforeEach
    void start() throws IOException {
        Instant start = Instant.now();
        Duration startedAt = clock.now();
        loop = EventLoop.open(clock);
        proxy = new SessionProxy(
                loop,
                new LineCallerCodec(),
                new LineEndpointCodec(),
                DaemonName.of("d1"),
                FailureDomain.of("z1"),
                new Random(1),
                ClockJumpDetector.create(
                        clock, () -> start.plus(clock.now().minus(startedAt)).plus(wallOffset.get())),
                Duration.ofSeconds(5),
                Optional.empty(),
                BalancingSettings.STATIC);
        Thread thread = new Thread(loop, "traffic");
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void stop() {
        loop.stop();
    }

    private <T> T inLoop(Callable<T> task) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                result.complete(task.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        return result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against a confirmation by a daemon whose host was suspended since the loop last looked. */
    @Test
    void suspensionWithinAnIterationDiscardsTheEvidence() throws Exception {
        Duration discardedUntil = inLoop(() -> {
            Duration renewedAt = clock.now();
            wallOffset.set(Duration.ofSeconds(5));
            Duration until = proxy.checkEvidenceDiscardedUntil();
            assertThat(until).isGreaterThanOrEqualTo(renewedAt);
            return until;
        });
        assertThat(inLoop(proxy::checkEvidenceDiscardedUntil)).isEqualTo(discardedUntil);
    }

    /** Guards against a planned stop that closes an idle session in whose socket a request is waiting. */
    @Test
    void requestThatHasArrivedIsAnsweredBeforeItsIdleSessionIsClosed() throws Exception {
        CountDownLatch sent = new CountDownLatch(1);
        CompletableFuture<Void> closed = new CompletableFuture<>();
        try (ServerSocket front = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            SocketChannel accepted = SocketChannel.open(front.getLocalSocketAddress());
            try (Socket peer = front.accept()) {
                peer.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
                loop.execute(() -> {
                    try {
                        CallerConnection session = proxy.newSession();
                        session.attach(LineConnection.accepted(loop, accepted, session));
                        sent.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
                        session.closeIfIdle(Duration.ZERO);
                        closed.complete(null);
                    } catch (IOException | InterruptedException e) {
                        closed.completeExceptionally(e);
                    }
                });
                peer.getOutputStream().write("CONNECT orders me\r\n".getBytes(StandardCharsets.US_ASCII));
                sent.countDown();
                closed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
                assertThat(new String(peer.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                        .startsWith("ERROR ");
            }
        }
    }
}
