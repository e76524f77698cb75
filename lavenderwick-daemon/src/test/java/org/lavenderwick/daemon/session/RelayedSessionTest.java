package org.lavenderwick.daemon.session;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.platform.LineEndpointCodec;

import static org.assertj.core.api.Assertions.assertThat;

/** Relays a session to an owner that the test plays over a socket. */
class RelayedSessionTest {

    private static final int TIMEOUT_SECONDS = 10;
    private static final String READY = "READY I -";
    private static final String REJECTION = "ERROR BUSY the daemon is stopping";

    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    private EventLoop loop;
    private ServerSocket listening;
    private RelayedSession session;
    private Socket owner;
    private BufferedReader received;

    @BeforeEach
    void openSession() throws Exception {
        loop = EventLoop.open(() -> Duration.ofNanos(System.nanoTime()));
        Thread thread = new Thread(loop, "traffic");
        thread.setDaemon(true);
        thread.start();
        listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        session = new RelayedSession(new LineEndpointCodec(), new RecordingListener());
        Peer peer = new Peer(FailureDomain.of("z1"), (InetSocketAddress) listening.getLocalSocketAddress());
        loop.execute(() -> {
            try {
                session.open(loop, peer, "CONNECT orders me RELAY 1 db");
            } catch (IOException e) {
                events.add(e.toString());
            }
        });
        owner = listening.accept();
        owner.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        received = new BufferedReader(new InputStreamReader(owner.getInputStream(), StandardCharsets.US_ASCII));
        assertThat(received.readLine()).startsWith("CONNECT ");
    }

    @AfterEach
    void close() throws IOException {
        owner.close();
        listening.close();
        loop.stop();
    }

    private void respond(String line) throws IOException {
        owner.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    private String nextEvent() throws InterruptedException {
        return events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private void forwardRequest() throws IOException {
        loop.execute(() -> session.forward("QUERY q1 READ a"));
        assertThat(received.readLine()).startsWith("QUERY ");
    }

    private final class RecordingListener implements RelayedSession.Listener {
        @Override
        public void onResponseLine(String line) {
            events.add(line);
        }

        @Override
        public void onOwnerLost(boolean accepted) {
            events.add("lost, rejected: " + session.isRejected());
        }
    }

    @Nested
    class OpenSession {

        @BeforeEach
        void accept() throws Exception {
            respond(READY);
            assertThat(nextEvent()).isEqualTo(READY);
        }

        /** Guards against a caller that is not told that its request, which crossed the close, has not run. */
        @Test
        void requestThatCrossesTheCloseIsRejected() throws Exception {
            forwardRequest();
            respond(REJECTION);
            owner.close();
            assertThat(nextEvent()).isEqualTo(REJECTION);
            assertThat(nextEvent()).isEqualTo("lost, rejected: true");
        }

        /** Guards against a message to a caller that has no request outstanding. */
        @Test
        void closeOfAnIdleSessionIsNotReported() throws Exception {
            respond(REJECTION);
            owner.close();
            assertThat(nextEvent()).isEqualTo("lost, rejected: false");
        }

        /** Guards against a request whose outcome is unknown and that is reported as rejected. */
        @Test
        void requestWithoutAnAnswerIsNotRejected() throws Exception {
            forwardRequest();
            owner.close();
            assertThat(nextEvent()).isEqualTo("lost, rejected: false");
        }

        /** Guards against a line after the error with which a session ends because its key was withdrawn. */
        @Test
        void errorThatEndsTheSessionIsNotCompleted() throws Exception {
            forwardRequest();
            respond("ERROR NOAUTH the key gives no access");
            owner.close();
            assertThat(nextEvent()).startsWith("ERROR NOAUTH");
            assertThat(nextEvent()).isEqualTo("lost, rejected: false");
        }

        /** Guards against an idle state that is reported for a transaction which failed. */
        @Test
        void errorInATransactionIsNotCompleted() throws Exception {
            forwardRequest();
            respond("READY T -");
            assertThat(nextEvent()).isEqualTo("READY T -");
            forwardRequest();
            respond(REJECTION);
            owner.close();
            assertThat(nextEvent()).isEqualTo(REJECTION);
            assertThat(nextEvent()).isEqualTo("lost, rejected: false");
        }
    }

    /** Guards against a second line of response to a session that was rejected when it was opened. */
    @Test
    void sessionThatIsNotOpenedGetsItsErrorOnly() throws Exception {
        respond(REJECTION);
        owner.close();
        assertThat(nextEvent()).isEqualTo(REJECTION);
        assertThat(nextEvent()).isEqualTo("lost, rejected: false");
    }
}
