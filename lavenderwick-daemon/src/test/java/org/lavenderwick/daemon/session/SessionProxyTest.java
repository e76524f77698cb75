package org.lavenderwick.daemon.session;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
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

    /** Size of the socket buffers of a caller that is slow to read. */
    private static final int SMALL_BUFFER_BYTES = 16 << 10;

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
        assertAnsweredWhenClosedIfIdleFor(Duration.ZERO, true);
    }

    /** Guards against a planned stop that closes a connection whose first line is on its way. */
    @Test
    void connectionWithoutALineIsNotIdleAtOnce() throws Exception {
        assertAnsweredWhenClosedIfIdleFor(Duration.ofMinutes(1), false);
    }

    /** Guards against an end of the daemon that loses an answer which the caller has not read yet. */
    @Test
    void daemonDoesNotEndBeforeTheLastAnswerIsSent() throws Exception {
        String answer = "x".repeat(1 << 20);
        StopSchedule schedule = StopSchedule.of(Duration.ofSeconds(6));
        try (ServerSocketChannel front = ServerSocketChannel.open().bind(loopback());
                Socket caller = new Socket()) {
            caller.setReceiveBufferSize(SMALL_BUFFER_BYTES);
            caller.connect(front.getLocalAddress());
            SocketChannel accepted = front.accept().setOption(StandardSocketOptions.SO_SNDBUF, SMALL_BUFFER_BYTES);
            inLoop(() -> {
                CallerConnection session = proxy.newSession();
                LineConnection line = LineConnection.accepted(loop, accepted, session);
                session.attach(line);
                line.send(answer);
                line.closeAfterSending();
                proxy.onSessionEnded(session);
                proxy.startDrain(schedule);
                return null;
            });
            // Beyond the time at which a daemon ends that has nothing to serve.
            assertThat(loop.awaitEnd(schedule.lastOperation().plusMillis(500))).isFalse();
            assertThat(caller.getInputStream().readAllBytes()).hasSize(answer.length() + "\r\n".length());
            assertThat(loop.awaitEnd(Duration.ofSeconds(TIMEOUT_SECONDS))).isTrue();
        }
    }

    private static InetSocketAddress loopback() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    /** Checks that a session answers its first line if it is closed as idle when the line was sent, or before. */
    private void assertAnsweredWhenClosedIfIdleFor(Duration idleTime, boolean sentBefore) throws Exception {
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
                        if (sentBefore) {
                            sent.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
                        }
                        session.closeIfIdle(idleTime);
                        closed.complete(null);
                    } catch (IOException | InterruptedException e) {
                        closed.completeExceptionally(e);
                    }
                });
                if (!sentBefore) {
                    closed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
                }
                peer.getOutputStream().write("CONNECT orders me\r\n".getBytes(StandardCharsets.US_ASCII));
                sent.countDown();
                closed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
                assertThat(new String(peer.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
                        .startsWith("ERROR ");
            }
        }
    }
}
