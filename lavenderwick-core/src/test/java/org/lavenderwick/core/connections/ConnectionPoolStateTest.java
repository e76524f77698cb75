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

    private static final BooleanSupplier YES = () -> true;
    private static final Duration IDLE = Duration.ofSeconds(30);

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    private static ConnectionPoolState pool(int share) {
        return ConnectionPoolState.create(OnDemandSizing.of(IDLE), share, new Random(3));
    }

    private static long open(ConnectionPoolState pool, ConnectionPurpose purpose, Duration now) {
        Open open = (Open) pool.acquire(purpose, YES, now);
        assertThat(pool.onOpened(open.connection(), now)).isTrue();
        return open.connection();
    }

    private static Use use(ConnectionPoolState pool, Duration now) {
        return (Use) pool.acquire(ConnectionPurpose.TRAFFIC, YES, now);
    }

    @Nested
    class Opening {

        /** Guards against a burst of opens when an endpoint comes back while many requests wait. */
        @Test
        void opensOneAtATime() {
            ConnectionPoolState pool = pool(10);
            assertThat(pool.acquire(ConnectionPurpose.TRAFFIC, YES, ms(0))).isInstanceOf(Open.class);
            for (int waiting = 0; waiting < 50; waiting++) {
                assertThat(pool.acquire(ConnectionPurpose.TRAFFIC, YES, ms(1))).isEqualTo(new Wait(Optional.empty()));
                assertThat(pool.acquire(ConnectionPurpose.CONTROL, YES, ms(1))).isEqualTo(new Wait(Optional.empty()));
            }
            assertThat(pool.connectionCount()).isEqualTo(1);
        }

        /** Guards against daemons that all hammer an endpoint which is down, or return to it in step. */
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
                            Wait wait = (Wait) pool.acquire(ConnectionPurpose.TRAFFIC, YES, ms(millis));
                            firstRetries.add(wait.retryAt().orElseThrow());
                        }
                    }
                }
                assertThat(attempts).isBetween(30, 70);
            }
            assertThat(firstRetries).hasSizeGreaterThan(90).allMatch(retry -> retry.compareTo(ms(50)) <= 0);
        }

        /**
         * Guards against owners that disagree about their shares, so that the endpoint's own limit refuses opens: both
         * must go on with what they have and not open in a loop.
         */
        @Test
        void twoOwnersThatBothTakeTheWholeLimitStayWithinIt() {
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

        /** Guards against a raise of the spending level that is asked for but not used. */
        @Test
        void asksTheSpendingPolicyOnlyForAnOpenItWouldMake() {
            ConnectionPoolState pool = pool(2);
            BooleanSupplier unexpected = () -> {
                throw new AssertionError("asked without need");
            };
            long first = open(pool, ConnectionPurpose.TRAFFIC, ms(0));
            assertThat(pool.acquire(ConnectionPurpose.TRAFFIC, unexpected, ms(0)))
                    .isEqualTo(new Use(first, false));
            assertThat(pool.acquire(ConnectionPurpose.TRAFFIC, unexpected, ms(0)))
                    .isInstanceOf(Wait.class);
            assertThat(pool.acquire(ConnectionPurpose.CONTROL, () -> false, ms(0)))
                    .isInstanceOf(Wait.class);
            assertThat(pool.connectionCount()).isEqualTo(1);
        }

        /** Guards against traffic that takes the connection kept for control calls. */
        @Test
        void trafficLeavesOneConnectionToControl() {
            ConnectionPoolState pool = pool(3);
            open(pool, ConnectionPurpose.TRAFFIC, ms(0));
            use(pool, ms(0));
            open(pool, ConnectionPurpose.TRAFFIC, ms(0));
            use(pool, ms(0));
            assertThat(pool.acquire(ConnectionPurpose.TRAFFIC, YES, ms(0))).isInstanceOf(Wait.class);
            assertThat(pool.acquire(ConnectionPurpose.CONTROL, YES, ms(0))).isInstanceOf(Open.class);
        }
    }

    @Nested
    class Reuse {

        /** Guards against a write sent on a connection that went silent while idle. */
        @Test
        void checksAConnectionThatWasIdleForLong() {
            ConnectionPoolState pool = pool(3);
            long id = open(pool, ConnectionPurpose.TRAFFIC, ms(0));
            assertThat(use(pool, ms(4_999)).validateFirst()).isFalse();
            pool.release(id, ReleaseState.CLEAN, ms(5_000));
            assertThat(use(pool, ms(10_000)).validateFirst()).isTrue();
        }

        /** Guards against idle connections over a path on which another one has just gone silent. */
        @Test
        void checksTheOthersAfterATimeout() {
            ConnectionPoolState pool = pool(4);
            long first = open(pool, ConnectionPurpose.TRAFFIC, ms(0));
            use(pool, ms(0));
            long second = open(pool, ConnectionPurpose.TRAFFIC, ms(0));
            use(pool, ms(0));
            pool.release(second, ReleaseState.CLEAN, ms(10));
            assertThat(pool.release(first, ReleaseState.TIMED_OUT, ms(20))).isFalse();
            assertThat(use(pool, ms(30))).isEqualTo(new Use(second, true));
            pool.release(second, ReleaseState.CLEAN, ms(40));
            assertThat(use(pool, ms(50))).isEqualTo(new Use(second, false));
        }

        /** Guards against a request that gives a connection back twice and so shares it with the next user. */
        @Test
        void rejectsAReleaseOfAnIdleConnection() {
            ConnectionPoolState pool = pool(3);
            long id = open(pool, ConnectionPurpose.TRAFFIC, ms(0));
            assertThatThrownBy(() -> pool.release(id, ReleaseState.CLEAN, ms(1)))
                    .isInstanceOf(IllegalStateException.class);
        }
    }

    @Nested
    class Shrinking {

        /** Guards against connections that stay open after a peak and against the loss of the control connection. */
        @Test
        void closesIdleTrafficDownToTheControlConnection() {
            ConnectionPoolState pool = pool(4);
            open(pool, ConnectionPurpose.CONTROL, ms(0));
            long first = open(pool, ConnectionPurpose.TRAFFIC, ms(0));
            use(pool, ms(0));
            long second = open(pool, ConnectionPurpose.TRAFFIC, ms(0));
            pool.release(first, ReleaseState.CLEAN, ms(9_000));
            assertThat(pool.removeExpiredIdle(ms(29_999))).isEmpty();
            assertThat(pool.removeExpiredIdle(ms(30_000))).containsExactly(second);
            assertThat(pool.removeExpiredIdle(ms(90_000))).containsExactly(first);
            assertThat(pool.connectionCount()).isEqualTo(1);
        }

        /** Guards against a share that is lowered but kept exceeded by connections in use or being opened. */
        @Test
        void aLowerShareClosesConnectionsAsTheyComeBack() {
            ConnectionPoolState pool = pool(4);
            long used = open(pool, ConnectionPurpose.TRAFFIC, ms(0));
            use(pool, ms(0));
            Open opening = (Open) pool.acquire(ConnectionPurpose.TRAFFIC, YES, ms(0));
            assertThat(pool.resize(1)).isEmpty();
            assertThat(pool.onOpened(opening.connection(), ms(5))).isFalse();
            assertThat(pool.resize(0)).isEmpty();
            assertThat(pool.release(used, ReleaseState.CLEAN, ms(9))).isFalse();
            assertThat(pool.connectionCount()).isZero();
        }
    }
}
