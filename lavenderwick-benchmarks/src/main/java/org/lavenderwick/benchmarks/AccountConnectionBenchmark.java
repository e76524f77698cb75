package org.lavenderwick.benchmarks;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.connections.account.AccountConnection;
import org.lavenderwick.core.connections.account.AccountConnectionCache;
import org.lavenderwick.core.connections.account.MissDecision;
import org.lavenderwick.core.dispatch.AccountEndpointSelector;
import org.lavenderwick.core.dispatch.EndpointLoad;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * All decisions for one statement of the next account: the endpoint, the connection, and which one to evict if the
 * account has none. Almost every statement of many accounts is a miss, which is the more expensive case.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class AccountConnectionBenchmark {

    private static final int ENDPOINTS = 3;
    private static final int CALLS = 1 << 12;
    private static final double EXPONENT = 1.2;
    private static final Duration BETWEEN_CALLS = Duration.ofMillis(8);

    /** An open connection without pending requests. */
    private record Idle(Optional<AccountName> account) implements AccountConnection {

        @Override
        public boolean isOpen() {
            return true;
        }

        @Override
        public boolean isIdle() {
            return true;
        }

        @Override
        public boolean isReserved() {
            return false;
        }

        @Override
        public Optional<Duration> pendingSince() {
            return Optional.empty();
        }
    }

    /** Number of accounts of the fleet. */
    @Param({"78", "1000", "10000"})
    public int accounts;

    /** Number of connections to each endpoint. */
    @Param({"9", "66"})
    public int connections;

    private final List<Optional<AccountName>> calls = new ArrayList<>();
    private final List<EndpointLoad> loads = new ArrayList<>();
    private final Map<EndpointName, List<Idle>> open = new HashMap<>();
    private final Map<EndpointName, AccountConnectionCache<Idle>> caches = new HashMap<>();
    private AccountEndpointSelector selector;
    private Duration now = Duration.ofSeconds(1);
    private int next;

    /** Creates the endpoints and the order in which accounts call. */
    @Setup
    public void fill() {
        selector = AccountEndpointSelector.create(GroupName.of("orders"));
        for (int index = 0; index < ENDPOINTS; index++) {
            EndpointName name = EndpointName.of("e" + index);
            loads.add(new EndpointLoad(name, index == 0, true, 0, 2, false));
            open.put(name, new ArrayList<>(List.of(new Idle(Optional.empty()))));
            caches.put(name, AccountConnectionCache.create());
        }
        Random random = new Random(1);
        for (int call = 0; call < CALLS; call++) {
            // Approximates a power law with this exponent.
            double rank = Math.pow(1 - random.nextDouble(), -1 / (EXPONENT - 1));
            int account = rank >= accounts ? random.nextInt(accounts) : (int) rank;
            calls.add(Optional.of(AccountName.of("account-" + account)));
        }
    }

    /** Decides about one statement and carries out what was decided. */
    @Benchmark
    public Idle decide() {
        Optional<AccountName> account = calls.get(next);
        next = (next + 1) % CALLS;
        now = now.plus(BETWEEN_CALLS);
        EndpointName endpoint = selector.select(
                        loads,
                        1,
                        account,
                        now,
                        name -> caches.get(name)
                                .idle(open.get(name), account, connection -> true)
                                .isPresent())
                .orElseThrow()
                .name();
        AccountConnectionCache<Idle> cache = caches.get(endpoint);
        List<Idle> known = open.get(endpoint);
        cache.beginPass();
        Idle connection = cache.idle(known, account, idle -> true).orElseGet(() -> {
            MissDecision<Idle> decision = cache.onMiss(known, account, connections, now);
            decision.evicted().ifPresent(known::remove);
            Idle opened = new Idle(account);
            known.add(opened);
            return opened;
        });
        cache.recordUse(account, now);
        selector.recordUse(account, now);
        return connection;
    }
}
