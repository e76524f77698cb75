package org.lavenderwick.daemon.entry;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderwick.adapters.endpoint.TransactionStep;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.membership.Owners;
import org.lavenderwick.core.membership.Seat;
import org.lavenderwick.core.membership.SeatTableHolder;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.RankName;
import org.lavenderwick.core.model.ServiceName;
import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.daemon.group.WorkFailure;
import org.lavenderwick.daemon.group.WorkRequest;
import org.lavenderwick.daemon.peer.PeerClient;
import org.lavenderwick.daemon.peer.PeerHandler;
import org.lavenderwick.daemon.peer.PeerHealth;
import org.lavenderwick.daemon.peer.PeerServer;
import org.lavenderwick.protocol.ExchangeRequest;
import org.lavenderwick.protocol.ExchangeResponse;
import org.lavenderwick.protocol.RelayRequest;
import org.lavenderwick.protocol.RelayResponse;
import org.lavenderwick.protocol.WireDigest;

import static org.assertj.core.api.Assertions.assertThat;

class OwnerRelayTest {
    private static final Duration DEADLINE = Duration.ofMillis(300);

    /** Longer than {@link #DEADLINE}, so that requests end by their deadline before a check. */
    private static final Duration CHECK_AFTER = Duration.ofMinutes(1);

    private final MonotonicClock clock = () -> Duration.ofNanos(System.nanoTime());
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final UnresponsiveOwner owner = new UnresponsiveOwner();
    private PeerServer server;
    private PeerClient client;
    private PeerHealth health;
    private String address;

    @BeforeEach
    void start() throws Exception {
        server = PeerServer.start(new InetSocketAddress("127.0.2.1", 0), owner);
        client = PeerClient.create(InetAddress.getByName("127.0.1.1"), timer);
        health = new PeerHealth(client, () -> new ExchangeRequest("entry", 1, "a", new WireDigest(1, 1)), clock);
        address = "127.0.2.1:" + server.port();
    }

    @AfterEach
    void stop() {
        client.close();
        server.close();
        timer.shutdownNow();
    }

    /** An owner with a long queue must not be treated as unreachable, which would affect requests of all ranks. */
    @Test
    void deadlineOfQueuedRequestDoesNotMarkOwnerUnreachable() throws Exception {
        assertThat(run(false).getLeft().failure().kind()).isEqualTo(ErrorKind.DEADLINE_UNREACHABLE);
        assertThat(health.suspected(address)).isFalse();
    }

    /** A write that the owner may have run must not be reported as not run. */
    @Test
    void sentWriteWithoutResponseHasUnknownOutcome() throws Exception {
        assertThat(run(true).getLeft().failure().kind()).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
    }

    /** An unreachable owner must be detected even if every request ends by its deadline before a periodic check. */
    @Test
    void unreachableOwnerIsDetectedAfterDeadline() throws Exception {
        owner.unreachable = true;
        run(false);
        assertThat(health.check(address).get(30, TimeUnit.SECONDS)).isFalse();
        assertThat(health.suspected(address)).isTrue();
    }

    private Either<WorkFailure, RelayedResponse> run(boolean write) throws Exception {
        Seat seat = new Seat(1, FailureDomain.of("b"), DaemonName.of("owner"), 1, address, false);
        OwnerSelector selector = new OwnerSelector() {
            @Override
            public List<Seat> candidates(Owners owners) {
                return List.of(seat);
            }

            @Override
            public boolean isPinned() {
                return false;
            }
        };
        OwnerRelay relay = new OwnerRelay(
                new Self(DaemonName.of("entry"), 1),
                new SeatTableHolder(),
                work -> Optional.empty(),
                client,
                health,
                CHECK_AFTER,
                clock,
                timer);
        WorkRequest work = new WorkRequest(
                "id",
                ServiceName.of("s"),
                GroupName.of("g"),
                Optional.of(RankName.of("r")),
                TransactionStep.SINGLE,
                write,
                "[]".getBytes(StandardCharsets.US_ASCII),
                clock.now().plus(DEADLINE),
                Optional.empty(),
                write ? Optional.of("key") : Optional.empty(),
                Optional.empty(),
                Optional.empty());
        return relay.run(work, selector).get(30, TimeUnit.SECONDS);
    }

    /** Owner that never responds to relayed requests, as if they were queued, and to exchanges only while reachable. */
    private static final class UnresponsiveOwner implements PeerHandler {
        private volatile boolean unreachable;

        @Override
        public CompletableFuture<RelayResponse> execute(RelayRequest request) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<ExchangeResponse> exchange(ExchangeRequest request) {
            return unreachable
                    ? new CompletableFuture<>()
                    : CompletableFuture.completedFuture(new ExchangeResponse(request.getDigest()));
        }
    }
}
