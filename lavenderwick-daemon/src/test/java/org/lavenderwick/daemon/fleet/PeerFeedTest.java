package org.lavenderwick.daemon.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class PeerFeedTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private Duration now = Duration.ofSeconds(100);
    private ServerSocket server;
    private PeerFeed feed;
    private Socket peer;
    private BufferedReader requests;

    @BeforeEach
    void openFeed() throws IOException {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        feed = PeerFeed.open(
                new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                7,
                true,
                () -> now,
                text -> Optional.empty(),
                confirmed -> {});
        peer = server.accept();
        peer.setSoTimeout((int) TIMEOUT.toMillis());
        requests = new BufferedReader(new InputStreamReader(peer.getInputStream(), StandardCharsets.US_ASCII));
        assertThat(requests.readLine()).isEqualTo("FOLLOW 7");
    }

    @AfterEach
    void close() throws IOException {
        feed.close();
        peer.close();
        server.close();
    }

    private void send(String line) throws IOException {
        peer.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    @Nested
    class Dating {

        /** Guards against a batch that a cut link held up and that then passes for recent. */
        @Test
        void batchIsDatedFromTheSubscription() throws IOException {
            Duration subscribedAt = now;
            now = now.plusSeconds(3);
            send("UPTO 8 200");
            PeerFeed.Batch batch = feed.nextBatch(TIMEOUT);
            assertThat(batch.knownAt()).isEqualTo(subscribedAt.minusMillis(200));
            assertThat(batch.changes().revision()).isEqualTo(8);
        }

        @Test
        void answerToAProbeIsDatedFromTheProbe() throws IOException {
            now = now.plusMillis(500);
            Duration probedAt = now;
            send("UPTO 8 200");
            feed.nextBatch(TIMEOUT);
            assertThat(requests.readLine()).isEqualTo("PROBE 1");
            now = now.plusMillis(300);
            send("PROBED 1 8 50");
            PeerFeed.Batch answer = feed.nextBatch(TIMEOUT);
            assertThat(answer.knownAt()).isEqualTo(probedAt.minusMillis(50));
            assertThat(answer.age()).isEqualTo(Duration.ofMillis(350));
        }
    }

    @Nested
    class EarlierVersion {

        /** Guards against a fleet in which daemons of two versions cannot read each other's feeds. */
        @Test
        void peerThatDoesNotKnowProbesIsRecognized() throws IOException {
            now = now.plusMillis(500);
            send("UPTO 8 200");
            feed.nextBatch(TIMEOUT);
            send("ERROR MALFORMED the session is not open");
            assertThatThrownBy(() -> feed.nextBatch(TIMEOUT)).isInstanceOf(PeerFeed.ProbesUnsupportedException.class);
        }
    }
}
