package org.lavenderwick.daemon.session;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.google.common.util.concurrent.Uninterruptibles;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LineConnectionTest {

    private static final int TIMEOUT_MILLIS = 10_000;

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private EventLoop loop;
    private ServerSocket server;
    private LineConnection connection;

    @BeforeEach
    void start() throws IOException {
        loop = EventLoop.open(() -> Duration.ofNanos(System.nanoTime()));
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        server.setSoTimeout(TIMEOUT_MILLIS);
        Thread thread = new Thread(loop, "traffic");
        thread.setDaemon(true);
        thread.start();
    }

    @AfterEach
    void stop() throws IOException {
        loop.stop();
        server.close();
    }

    /** Starts to connect and queues a line before the connection is established; returns the server side. */
    private Socket connectAndSend(String line) throws IOException {
        loop.execute(() -> {
            try {
                InetSocketAddress address =
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
                connection = LineConnection.connect(loop, address, new Recorder());
                connection.send(line);
            } catch (IOException e) {
                events.add("failed " + e.getMessage());
            }
        });
        Socket socket = server.accept();
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    private static String readLine(Socket socket) throws IOException {
        return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1))
                .readLine();
    }

    private String nextEvent() throws InterruptedException {
        return events.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Test
    void sendsLineQueuedBeforeConnectionIsEstablished() throws IOException {
        try (Socket socket = connectAndSend("CONNECT a b")) {
            assertThat(readLine(socket)).isEqualTo("CONNECT a b");
        }
    }

    @Test
    void passesCompleteLinesRegardlessOfSegmentation() throws Exception {
        try (Socket socket = connectAndSend("x")) {
            assertThat(nextEvent()).isEqualTo("connected");
            write(socket, "one\r\ntw");
            assertThat(nextEvent()).isEqualTo("one");
            write(socket, "o\r");
            write(socket, "\nthree\r\n");
            assertThat(nextEvent()).isEqualTo("two");
            assertThat(nextEvent()).isEqualTo("three");
        }
        assertThat(nextEvent()).isEqualTo("closed");
    }

    @Test
    void pausedConnectionPassesNoLinesUntilResumed() throws Exception {
        try (Socket socket = connectAndSend("x")) {
            assertThat(nextEvent()).isEqualTo("connected");
            loop.execute(() -> connection.pause());
            Thread.sleep(50);
            write(socket, "one\r\n");
            assertThat(events.poll(200, TimeUnit.MILLISECONDS)).isNull();
            loop.execute(() -> connection.resume());
            assertThat(nextEvent()).isEqualTo("one");
        }
    }

    @Test
    void lineFeedWithoutCarriageReturnIsMalformed() throws Exception {
        try (Socket socket = connectAndSend("x")) {
            assertThat(nextEvent()).isEqualTo("connected");
            write(socket, "one\ntwo\r\n");
            assertThat(nextEvent()).isEqualTo("malformed");
        }
    }

    /** Guards against a planned stop that closes an idle session in whose socket a request is waiting. */
    @Test
    void readsWhatHasArrivedBeforeAnIdleConnectionIsClosed() throws Exception {
        try (Socket socket = connectAndSend("x")) {
            assertThat(nextEvent()).isEqualTo("connected");
            CountDownLatch arrived = new CountDownLatch(1);
            loop.execute(() -> {
                // The loop is busy while the request arrives, so it has not read it when the connection is closed.
                Uninterruptibles.awaitUninterruptibly(arrived, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
                connection.readArrived();
                events.add("closing");
                connection.closeAfterSending();
            });
            write(socket, "request\r\n");
            arrived.countDown();
            assertThat(nextEvent()).isEqualTo("request");
            assertThat(nextEvent()).isEqualTo("closing");
        }
    }

    private final class Recorder implements LineConnection.Listener {

        @Override
        public void onConnected() {
            events.add("connected");
        }

        @Override
        public void onLine(String line) {
            events.add(line);
        }

        @Override
        public void onClosed(String reason) {
            events.add("closed");
        }

        @Override
        public void onMalformedLine(boolean tooLong) {
            events.add("malformed");
        }
    }
}
