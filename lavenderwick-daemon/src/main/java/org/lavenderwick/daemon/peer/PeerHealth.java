package org.lavenderwick.daemon.peer;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.protocol.ExchangeRequest;

/**
 * A health checker that distinguishes slow peers from unreachable ones and remembers for a limited time which peers are
 * unreachable. Each health check uses a new connection, because packets on the open ones may be dropped silently.
 * Thread-safe.
 */
public final class PeerHealth {
    /** Timeout of a health check, which takes one connection setup and one round trip if the peer is idle. */
    private static final Duration CHECK_TIMEOUT = Duration.ofMillis(600);

    /** How long a health check is reused, so that many slow requests to a peer cause only a few checks. */
    private static final Duration CHECK_REUSE_DURATION = Duration.ofMillis(500);

    /** How long a peer counts as unreachable after a failure; requests are sent to other peers first meanwhile. */
    private static final Duration UNREACHABLE_DURATION = Duration.ofSeconds(2);

    private final PeerClient client;
    private final Supplier<ExchangeRequest> checkRequest;
    private final MonotonicClock clock;

    /** Monotonic time until which a peer counts as unreachable, by address. */
    private final Map<String, Duration> unreachableUntil = new ConcurrentHashMap<>();

    private final Map<String, Check> checks = new ConcurrentHashMap<>();

    /**
     * Creates a health checker that initially regards all peers as reachable.
     *
     * @param client client for the calls to peers
     * @param checkRequest supplies the request of a health check, an exchange that carries no documents
     * @param clock monotonic clock
     */
    public PeerHealth(PeerClient client, Supplier<ExchangeRequest> checkRequest, MonotonicClock clock) {
        this.client = client;
        this.checkRequest = checkRequest;
        this.clock = clock;
    }

    /** Returns whether the peer was recently found to be unreachable and has not responded since. */
    public boolean suspected(String address) {
        Duration until = unreachableUntil.get(address);
        return until != null && clock.now().compareTo(until) < 0;
    }

    /** Records that the peer is unreachable, which holds for a limited time or until the peer responds. */
    public void unreachable(String address) {
        unreachableUntil.put(address, clock.now().plus(UNREACHABLE_DURATION));
    }

    /** Records that the peer has responded, so that it no longer counts as unreachable. */
    public void answered(String address) {
        unreachableUntil.remove(address);
    }

    /**
     * Checks whether the peer responds on a new connection, or returns the latest check if it is recent. Records the
     * result. The returned future never completes exceptionally.
     */
    public CompletableFuture<Boolean> check(String address) {
        Check check = checks.compute(address, (key, latest) -> {
            boolean reusable = latest != null
                    && latest.createdAt.plus(CHECK_REUSE_DURATION).compareTo(clock.now()) > 0;
            return reusable ? latest : new Check(clock.now(), new CompletableFuture<>(), new CompletableFuture<>());
        });
        if (check.started.complete(true)) {
            client.closeIdleConnections(address);
            client.exchange(address, checkRequest.get(), CHECK_TIMEOUT).thenAccept(response -> {
                if (response.isRight()) {
                    answered(address);
                } else {
                    unreachable(address);
                }
                check.result.complete(response.isRight());
            });
        }
        return check.result;
    }

    /**
     * A health check of one peer.
     *
     * @param createdAt monotonic time at which the check was created
     * @param started completed by the thread that sends the request, so that only one thread does
     * @param result whether the peer responded
     */
    private record Check(Duration createdAt, CompletableFuture<Boolean> started, CompletableFuture<Boolean> result) {}
}
