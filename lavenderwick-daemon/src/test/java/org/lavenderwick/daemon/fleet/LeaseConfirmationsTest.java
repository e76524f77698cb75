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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.failover.LeaseConfirmation;
import org.lavenderwick.daemon.session.FeedProtocol;

import static org.assertj.core.api.Assertions.assertThat;

class LeaseConfirmationsTest {

    private static final int TIMEOUT_SECONDS = 10;
    private static final Duration LONG = Duration.ofSeconds(TIMEOUT_SECONDS);
    private static final LeaseConfirmation CONFIRMATION = new LeaseConfirmation(1, 7, Duration.ofMillis(20));

    private final LeaseConfirmations confirmations = new LeaseConfirmations(() -> Duration.ofNanos(System.nanoTime()));
    private ServerSocket server;
    private InetSocketAddress address;
    private PeerFeed feed;
    private Socket head;
    private BufferedReader requests;

    @BeforeEach
    void openFeed() throws IOException {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        feed = PeerFeed.open(
                address,
                -1,
                false,
                () -> Duration.ofNanos(System.nanoTime()),
                text -> Optional.empty(),
                confirmations::onConfirmed);
        head = server.accept();
        head.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        requests = new BufferedReader(new InputStreamReader(head.getInputStream(), StandardCharsets.US_ASCII));
        assertThat(requests.readLine()).startsWith("FOLLOW");
        confirmations.onFeedOpened(address, feed);
    }

    @AfterEach
    void close() throws IOException {
        feed.close();
        head.close();
        server.close();
    }

    private CompletableFuture<Optional<LeaseConfirmation>> request(Duration timeout) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return confirmations.request(timeout);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    private static <T> T result(CompletableFuture<T> future) throws Exception {
        return future.get(2 * TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    @Test
    void responseOfTheSameNumberIsReturned() throws Exception {
        CompletableFuture<Optional<LeaseConfirmation>> requested = request(LONG);
        assertThat(requests.readLine()).isEqualTo("CONFIRM 1");
        confirmations.onConfirmed(new FeedProtocol.Confirmed(1, CONFIRMATION));
        assertThat(result(requested)).contains(CONFIRMATION);
    }

    /** Guards against a late response that is counted from a later request, and so looks newer than it is. */
    @Test
    void lateResponseIsNotTakenForThatOfALaterRequest() throws Exception {
        assertThat(confirmations.request(Duration.ofMillis(1))).isEmpty();
        CompletableFuture<Optional<LeaseConfirmation>> requested = request(Duration.ofMillis(300));
        assertThat(requests.readLine()).isEqualTo("CONFIRM 1");
        assertThat(requests.readLine()).isEqualTo("CONFIRM 2");
        confirmations.onConfirmed(new FeedProtocol.Confirmed(1, CONFIRMATION));
        assertThat(result(requested)).isEmpty();
    }

    /** Guards against an upgrade in which each request costs a feed of a daemon of the earlier version. */
    @Test
    void daemonThatClosesItsFeedInsteadOfAResponseIsNotAskedAgain() throws Exception {
        CompletableFuture<Optional<LeaseConfirmation>> requested = request(LONG);
        assertThat(requests.readLine()).isEqualTo("CONFIRM 1");
        confirmations.onFeedClosed();
        assertThat(result(requested)).isEmpty();
        confirmations.onFeedOpened(address, feed);
        assertThat(confirmations.request(Duration.ofMillis(1))).isEmpty();
        feed.close();
        assertThat(requests.readLine()).isNull();
    }

    @Test
    void feedThatEndsBetweenRequestsIsAskedAgain() throws Exception {
        confirmations.onFeedClosed();
        confirmations.onFeedOpened(address, feed);
        assertThat(confirmations.request(Duration.ofMillis(1))).isEmpty();
        assertThat(requests.readLine()).isEqualTo("CONFIRM 1");
    }
}
