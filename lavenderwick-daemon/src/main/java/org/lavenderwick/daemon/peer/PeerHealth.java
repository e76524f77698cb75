package org.lavenderwick.daemon.peer;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.protocol.ExchangeRequest;

/**
 * Finds out whether a peer that owes an answer is slow or unreachable, and remembers unreachable peers for a while. A
 * check uses a new connection, because open ones may have gone silent. Thread-safe.
 */
public final class PeerHealth {
    /** Time for a check, which takes a connect and one round trip at an idle peer. */
    private static final Duration CHECK_TIMEOUT = Duration.ofMillis(600);

    /** Time for which the result of a check is used again, so that many slow requests make few checks. */
    private static final Duration REUSE = Duration.ofMillis(500);

    /** Time for which an unreachable peer is tried last. */
    private static final Duration SUSPECT_FOR = Duration.ofSeconds(2);

    private final PeerClient peers;
    private final Supplier<ExchangeRequest> question;
    private final MonotonicClock clock;
    private final Map<String, Duration> suspects = new ConcurrentHashMap<>();
    private final Map<String, Check> checks = new ConcurrentHashMap<>();

    /**
     * Creates the knowledge of a daemon about its peers.
     *
     * @param peers calls peers
     * @param question an exchange that carries no news
     * @param clock monotonic time
     */
    public PeerHealth(PeerClient peers, Supplier<ExchangeRequest> question, MonotonicClock clock) {
        this.peers = peers;
        this.question = question;
        this.clock = clock;
    }

    /** Returns whether the peer was found unreachable a short while ago. */
    public boolean suspected(String address) {
        Duration until = suspects.get(address);
        return until != null && clock.now().compareTo(until) < 0;
    }

    /** Records that the peer could not be reached. */
    public void unreachable(String address) {
        suspects.put(address, clock.now().plus(SUSPECT_FOR));
    }

    /** Records an answer of the peer. */
    public void answered(String address) {
        suspects.remove(address);
    }

    /** Returns whether the peer answers on a new connection. Never completes exceptionally. */
    public CompletableFuture<Boolean> check(String address) {
        Check check = checks.compute(address, (key, known) -> {
            boolean reusable = known != null && known.startedAt.plus(REUSE).compareTo(clock.now()) > 0;
            return reusable ? known : new Check(clock.now(), new CompletableFuture<>(), new CompletableFuture<>());
        });
        if (check.claimed.complete(true)) {
            peers.dropIdle(address);
            peers.exchange(address, question.get(), CHECK_TIMEOUT).thenAccept(answer -> {
                if (answer.isRight()) {
                    answered(address);
                } else {
                    unreachable(address);
                }
                check.result.complete(answer.isRight());
            });
        }
        return check.result;
    }

    private record Check(Duration startedAt, CompletableFuture<Boolean> claimed, CompletableFuture<Boolean> result) {}
}
