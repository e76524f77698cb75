package org.lavenderwick.daemon.session;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against a daemon that ends because of one message or one unexpected error. */
class EventLoopTest {

    private static final int TIMEOUT_SECONDS = 10;

    private EventLoop loop;
    private Thread thread;

    @BeforeEach
    void open() throws IOException {
        loop = EventLoop.open(() -> Duration.ofNanos(System.nanoTime()));
        thread = new Thread(loop, "traffic");
        thread.setDaemon(true);
    }

    @AfterEach
    void stop() {
        loop.stop();
    }

    private void awaitTask() throws InterruptedException {
        CountDownLatch ran = new CountDownLatch(1);
        loop.execute(ran::countDown);
        assertThat(ran.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void failedTaskDoesNotEndTheLoop() throws InterruptedException {
        thread.start();
        loop.execute(() -> {
            throw new IllegalStateException("unexpected");
        });
        awaitTask();
    }

    @Test
    void failedTickIsFollowedByAnother() throws InterruptedException {
        CountDownLatch ticks = new CountDownLatch(3);
        loop.onTick(now -> {
            ticks.countDown();
            throw new IllegalStateException("unexpected");
        });
        thread.start();
        assertThat(ticks.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
        awaitTask();
    }

    @Test
    void listenerThatFailsOnALineLosesOnlyItsOwnConnection() throws Exception {
        AtomicInteger closed = new AtomicInteger();
        thread.start();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            SocketChannel channel = SocketChannel.open();
            loop.execute(() -> accept(channel, server, closed));
            try (Socket peer = server.accept()) {
                peer.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
                peer.getOutputStream().write("anything\r\n".getBytes(StandardCharsets.US_ASCII));
                assertThat(peer.getInputStream().read()).isEqualTo(-1);
            }
        }
        awaitTask();
        assertThat(closed).hasValue(1);
    }

    private void accept(SocketChannel channel, ServerSocket server, AtomicInteger closed) {
        try {
            channel.connect(server.getLocalSocketAddress());
            LineConnection.accepted(loop, channel, new FailingListener(closed));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private record FailingListener(AtomicInteger closed) implements LineConnection.Listener {

        @Override
        public void onConnected() {
            throw new IllegalStateException("unexpected");
        }

        @Override
        public void onLine(String line) {
            throw new IllegalStateException("unexpected");
        }

        @Override
        public void onClosed(String reason) {
            closed.incrementAndGet();
        }

        @Override
        public void onMalformedLine(boolean tooLong) {
            throw new IllegalStateException("unexpected");
        }
    }
}
