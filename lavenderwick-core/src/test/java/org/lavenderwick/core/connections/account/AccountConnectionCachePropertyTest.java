package org.lavenderwick.core.connections.account;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderwick.core.account.AccountName;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Checks what must hold after every decision, in random histories. */
class AccountConnectionCachePropertyTest {

    private static final int SEEDS = 200;
    private static final int STEPS = 400;
    private static final int ACCOUNTS = 9;

    private static final Predicate<FakeConnection> GUARD = AccountConnection::isIdle;

    private static Optional<AccountName> account(int number) {
        return number == 0 ? Optional.empty() : Optional.of(AccountName.of("a" + number));
    }

    private static void run(long seed, Predicate<FakeConnection> evictable) {
        Random random = new Random(seed);
        AccountUse use = AccountUse.create(AccountConnectionCache.USE_WINDOW);
        AccountConnectionCache<FakeConnection> cache =
                new AccountConnectionCache<>(use, AccountConnectionCache.byExpectedUse(use), evictable);
        int maximum = 2 + random.nextInt(8);
        List<FakeConnection> connections = new ArrayList<>();
        connections.add(FakeConnection.idle(Optional.empty(), Duration.ZERO));
        for (int step = 1; step <= STEPS; step++) {
            Duration now = Duration.ofMillis(7L * step);
            changeOne(random, connections);
            if (random.nextBoolean()) {
                cache.beginPass();
            }
            Optional<AccountName> account = account(random.nextInt(ACCOUNTS));
            Optional<FakeConnection> idle = cache.idle(connections, account, connection -> true);
            idle.ifPresent(connection -> {
                assertThat(connection.account()).isEqualTo(account);
                connection.run(now);
                connection.reserve(random.nextInt(3) == 0);
                cache.recordUse(account, now);
            });
            if (idle.isEmpty()) {
                decide(cache, connections, account, maximum, now);
            }
            assertThat(connections).hasSizeLessThanOrEqualTo(maximum);
            assertThat(cache.countOf(connections, Optional.empty())).isPositive();
        }
    }

    private static void decide(
            AccountConnectionCache<FakeConnection> cache,
            List<FakeConnection> connections,
            Optional<AccountName> account,
            int maximum,
            Duration now) {
        MissDecision<FakeConnection> decision = cache.onMiss(connections, account, maximum, now);
        decision.evicted().ifPresent(evicted -> {
            assertThat(evicted.isOpen()).as("evicted connection is open").isTrue();
            assertThat(evicted.isReserved())
                    .as("evicted connection has a transaction")
                    .isFalse();
            assertThat(evicted.pendingSince()).as("evicted connection is busy").isEmpty();
            connections.remove(evicted);
        });
        if (decision.action() == MissDecision.Action.OPEN) {
            connections.add(FakeConnection.opening(account, now));
        }
    }

    /** Ends a request, a handshake or a transaction on a random connection. */
    private static void changeOne(Random random, List<FakeConnection> connections) {
        FakeConnection connection = connections.get(random.nextInt(connections.size()));
        connection.finish();
        if (random.nextBoolean()) {
            connection.reserve(false);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 1_000_000})
    void staysWithinTheMaximumAndEvictsOnlyIdleConnections(long firstSeed) {
        for (long seed = firstSeed; seed < firstSeed + SEEDS; seed++) {
            run(seed, GUARD);
        }
    }

    /** Guards against a check above that would not notice a broken rule. */
    @Test
    void fails_ifTheGuardOfBusyConnectionsIsOff() {
        assertThatThrownBy(() -> {
                    for (long seed = 1; seed < SEEDS; seed++) {
                        run(seed, connection -> true);
                    }
                })
                .isInstanceOf(AssertionError.class)
                .hasMessageContaining("evicted connection");
    }

    /** Guards against a check above that would not notice that connections with a transaction are evicted. */
    @Test
    void fails_ifTheGuardOfTransactionsIsOff() {
        assertThatThrownBy(() -> {
                    for (long seed = 1; seed < SEEDS; seed++) {
                        run(
                                seed,
                                connection -> connection.isOpen()
                                        && connection.pendingSince().isEmpty());
                    }
                })
                .isInstanceOf(AssertionError.class)
                .hasMessageContaining("transaction");
    }
}
