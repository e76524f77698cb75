package org.lavenderwick.core.connections;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.connections.PoolDecision.Open;
import org.lavenderwick.core.connections.PoolDecision.Use;
import org.lavenderwick.core.connections.PoolDecision.Wait;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ConnectionPoolStateTest {

    private static final BooleanSupplier PERMITTED = () -> true;
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    private static ConnectionPoolState pool(int share) {
        return ConnectionPoolState.create(OnDemandSizing.of(IDLE_TIMEOUT), share, new Random(3));
    }

    private static long open(ConnectionPoolState pool, ConnectionPurpose purpose, Duration now) {
        Open open = (Open) pool.acquire(purpose, PERMITTED, now);
        assertThat(pool.onOpened(open.connection(), now)).isTrue();
        return open.connection();
    }

    private static Use acquireIdle(ConnectionPoolState pool, Duration now) {
        return (Use) pool.acquire(ConnectionPurpose.TRAFFIC, PERMITTED, now);
    }

    @Nested
    class Opening {

        /** When an endpoint becomes available again, the waiting requests must not open many connections at once. */
        @Test
        void opensOneAtATime() {
            ConnectionPoolState pool = pool(10);
            assertThat(pool.acquire(ConnectionPurpose.TRAFFIC, PERMITTED, ms(0)))
                    .isInstanceOf(Open.class);
            for (int request = 0; request < 50; request++) {
                assertThat(pool.acquire(ConnectionPurpose.TRAFFIC, PERMITTED, ms(1)))
                        .isEqualTo(new Wait(Optional.empty()));
                assertThat(pool.acquire(ConnectionPurpose.CONTROL, PERMITTED, ms(1)))
                        .isEqualTo(new Wait(Optional.empty()));
            }
            assertThat(pool.connectionCount()).isEqualTo(1);
        }

        /** Daemons must not overload an endpoint that is down with attempts, or retry at the same time. */
        @Test
        void failedOpensBackOffWithJitter() {
            Set<Duration> firstRetries = new HashSet<>();
            for (int daemon = 0; daemon < 100; daemon++) {
                ConnectionPoolState pool = ConnectionPoolState.create(FixedSizing.create(), 10, new Random(daemon));
                int attempts = 0;
                for (int millis = 0; millis < 60_000; millis++) {
                    Optional<Open> open = pool.replenish(ms(millis));
                    if (open.isPresent()) {
                        attempts++;
                        pool.onOpenFailed(open.get().connection(), ms(millis));
                        if (attempts == 1) {
                            Wait wait = (Wait) pool.acquire(ConnectionPurpose.TRAFFIC, PERMITTED, ms(millis));
                            firstRetries.add(wait.retryAt().orElseThrow());
                        }
                    }
                }
                assertThat(attempts).isBetween(30, 70);
            }
            assertThat(firstRetries).hasSizeGreaterThan(90).allMatch(retry -> retry.compareTo(ms(50)) <= 0);
        }

        /**
         * Owners that disagree about their shares can together exceed the connection limit of the endpoint, which then
         * rejects connections. Each owner must keep its open connections and must not retry without a backoff.
         */
        @Test
        void ownersWhoseSharesExceedTheLimitBackOff() {
            List<ConnectionPoolState> owners = new ArrayList<>();
            owners.add(ConnectionPoolState.create(FixedSizing.create(), 16, new Random(1)));
            owners.add(ConnectionPoolState.create(FixedSizing.create(), 16, new Random(2)));
            int attempts = 0;
            int open = 0;
            for (int millis = 0; millis < 10_000; millis++) {
                for (ConnectionPoolState owner : owners) {
                    Optional<Open> decision = owner.replenish(ms(millis));
                    if (decision.isPresent()) {
                        attempts++;
                        if (open < 20) {
                            open++;
                            owner.onOpened(decision.get().connection(), ms(millis));
                        } else {
                            owner.onOpenFailed(decision.get().connection(), ms(millis));
                        }
                    }
                }
            }
            assertThat(owners.get(0).connectionCount() + owners.get(1).connectionCount())
                    .isEqualTo(20);
            assertThat(owners)
                    .allSatisfy(owner -> assertThat(owner.idleTrafficCount()).isPositive());
            assertThat(attempts).isLessThan(60);
        }

        /** Asking the spending policy may raise the paid level, so it is asked only before a connection is opened. */
        @Test
        void asksTheSpendingPolicyOnlyBeforeOpeningAConnection() {
            ConnectionPoolState pool = pool(2);
            BooleanSupplier failing = () -> {
                throw new AssertionError("the spending policy was asked although no connection would be opened");
            };
            long first = open(pool, ConnectionPurpose.TRAFFIC, ms(0));
            assertThat(pool.acquire(ConnectionPurpose.TRAFFIC, failing, ms(0))).isEqualTo(new Use(first, false));
            assertThat(pool.acquire(ConnectionPurpose.TRAFFIC, failing, ms(0))).isInstanceOf(Wait.class);
            assertThat(pool.acquire(ConnectionPurpose.CONTROL, () -> false, ms(0)))
                    .isInstanceOf(Wait.class);
            assertThat(pool.connectionCount()).isEqualTo(1);
        }

        /** Traffic must not use the connection that is reserved for control calls. */
        @Test
        void trafficLeavesOneConnectionForControlCalls() {
            ConnectionPoolState pool = pool(3);
            open(pool, ConnectionPurpose.TRAFFIC, ms(0));
            acquireIdle(pool, ms(0));
            open(pool, ConnectionPurpose.TRAFFIC, ms(0));
            acquireIdle(pool, ms(0));
            assertThat(pool.acquire(ConnectionPurpose.TRAFFIC, PERMITTED, ms(0)))
                    .isInstanceOf(Wait.class);
            assertThat(pool.acquire(ConnectionPurpose.CONTROL, PERMITTED, ms(0)))
                    .isInstanceOf(Open.class);
        }
    }

    @Nested
    class Reuse {

        /** A write must not be sent on a connection that was lost unnoticed while idle. */
        @Test
        void validatesAConnectionAfterALongIdleTime() {
            ConnectionPoolState pool = pool(3);
            long id = open(pool, ConnectionPurpose.TRAFFIC, ms(0));
            assertThat(acquireIdle(pool, ms(4_999)).validateFirst()).isFalse();
            pool.release(id, ReleaseState.CLEAN, ms(5_000));
            assertThat(acquireIdle(pool, ms(10_000)).validateFirst()).isTrue();
        }

        /** After a timeout on one connection, the idle connections to the same endpoint may be lost too. */
        @Test
        void validatesIdleConnectionsAfterATimeout() {
            ConnectionPoolState pool = pool(4);
            long first = open(pool, ConnectionPurpose.TRAFFIC, ms(0));
            acquireIdle(pool, ms(0));
            long second = open(pool, ConnectionPurpose.TRAFFIC, ms(0));
            acquireIdle(pool, ms(0));
            pool.release(second, ReleaseState.CLEAN, ms(10));
            assertThat(pool.release(first, ReleaseState.TIMED_OUT, ms(20))).isFalse();
            assertThat(acquireIdle(pool, ms(30))).isEqualTo(new Use(second, true));
            pool.release(second, ReleaseState.CLEAN, ms(40));
            assertThat(acquireIdle(pool, ms(50))).isEqualTo(new Use(second, false));
        }

        /** A request that releases a connection twice would share it with the next user. */
        @Test
        void rejectsTheReleaseOfAnIdleConnection() {
            ConnectionPoolState pool = pool(3);
            long id = open(pool, ConnectionPurpose.TRAFFIC, ms(0));
            assertThatThrownBy(() -> pool.release(id, ReleaseState.CLEAN, ms(1)))
                    .isInstanceOf(IllegalStateException.class);
        }
    }

    @Nested
    class Shrinking {

        /** Idle connections must be closed after a load peak, except for the control connection. */
        @Test
        void closesAllIdleConnectionsButTheControlConnection() {
            ConnectionPoolState pool = pool(4);
            open(pool, ConnectionPurpose.CONTROL, ms(0));
            long first = open(pool, ConnectionPurpose.TRAFFIC, ms(0));
            acquireIdle(pool, ms(0));
            long second = open(pool, ConnectionPurpose.TRAFFIC, ms(0));
            pool.release(first, ReleaseState.CLEAN, ms(9_000));
            assertThat(pool.removeExpiredIdle(ms(29_999))).isEmpty();
            assertThat(pool.removeExpiredIdle(ms(30_000))).containsExactly(second);
            assertThat(pool.removeExpiredIdle(ms(90_000))).containsExactly(first);
            assertThat(pool.connectionCount()).isEqualTo(1);
        }

        /** Connections in use or being opened must not keep the pool above a lowered share. */
        @Test
        void closesExcessConnectionsWhenTheyAreReleased() {
            ConnectionPoolState pool = pool(4);
            long inUse = open(pool, ConnectionPurpose.TRAFFIC, ms(0));
            acquireIdle(pool, ms(0));
            Open opening = (Open) pool.acquire(ConnectionPurpose.TRAFFIC, PERMITTED, ms(0));
            assertThat(pool.resize(1)).isEmpty();
            assertThat(pool.onOpened(opening.connection(), ms(5))).isFalse();
            assertThat(pool.resize(0)).isEmpty();
            assertThat(pool.release(inUse, ReleaseState.CLEAN, ms(9))).isFalse();
            assertThat(pool.connectionCount()).isZero();
        }
    }
}
