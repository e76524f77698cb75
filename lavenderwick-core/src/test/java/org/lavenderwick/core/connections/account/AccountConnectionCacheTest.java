package org.lavenderwick.core.connections.account;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.account.AccountName;

import static org.assertj.core.api.Assertions.assertThat;

class AccountConnectionCacheTest {

    private static final Optional<AccountName> OWN = Optional.empty();
    private static final Optional<AccountName> FIRST = Optional.of(AccountName.of("first"));
    private static final Optional<AccountName> SECOND = Optional.of(AccountName.of("second"));

    private final AccountConnectionCache<FakeConnection> cache = AccountConnectionCache.create();
    private final List<FakeConnection> connections = new ArrayList<>();
    private final Duration now = Duration.ofSeconds(100);

    private MissDecision.Action miss(Optional<AccountName> account, int maximum) {
        return cache.onMiss(connections, account, maximum, now).action();
    }

    @Nested
    class OwnConnection {

        @Test
        void hasItsPlaceEvenWhileItIsNotOpen() {
            connections.add(FakeConnection.opening(FIRST, now));
            assertThat(miss(SECOND, 2)).isEqualTo(MissDecision.Action.NO_ROOM);
            assertThat(miss(OWN, 2)).isEqualTo(MissDecision.Action.OPEN);
        }

        @Test
        void isEvictedIfTheMaximumLeavesNoOther() {
            connections.add(FakeConnection.idle(OWN, now));
            assertThat(cache.onMiss(connections, FIRST, 1, now).evicted()).contains(connections.get(0));
        }

        /** Guards against the loss of the only connection that is old enough for evidence. */
        @Test
        void oldestOneIsKept() {
            connections.add(FakeConnection.idle(OWN, now));
            connections.add(FakeConnection.idle(OWN, now));
            assertThat(cache.onMiss(connections, FIRST, 2, now).evicted()).contains(connections.get(1));
        }
    }

    @Nested
    class Waiting {

        @Test
        void isPreferredWhileAConnectionIsExpectedSoonerThanANewOne() {
            connections.add(FakeConnection.idle(FIRST, now));
            connections.get(0).run(now.minusMillis(15));
            assertThat(miss(FIRST, 9)).isEqualTo(MissDecision.Action.WAIT);
        }

        @Test
        void isNotPreferredWhileTheStatementHasJustBegunToRun() {
            connections.add(FakeConnection.idle(FIRST, now));
            connections.get(0).run(now);
            assertThat(miss(FIRST, 9)).isEqualTo(MissDecision.Action.OPEN);
        }

        @Test
        void doesNotCountOnAConnectionWithATransaction() {
            connections.add(FakeConnection.idle(FIRST, now));
            connections.get(0).run(now.minusMillis(15));
            connections.get(0).reserve(true);
            assertThat(miss(FIRST, 9)).isEqualTo(MissDecision.Action.OPEN);
        }

        /** Guards against a single connection for a burst, and against one connection for each repeated decision. */
        @Test
        void oneStatementIsCountedOnEachConnectionThatOpens() {
            connections.add(FakeConnection.opening(FIRST, now));
            for (int pass = 0; pass < 3; pass++) {
                cache.beginPass();
                assertThat(miss(FIRST, 9)).isEqualTo(MissDecision.Action.WAIT);
            }
            assertThat(miss(FIRST, 9)).isEqualTo(MissDecision.Action.OPEN);
        }
    }

    @Nested
    class Rates {

        @Test
        void accountsWithoutRecentStatementsAreForgotten() {
            AccountUse use = AccountUse.create(Duration.ofSeconds(1));
            for (int number = 0; number < 10_000; number++) {
                use.record(Optional.of(AccountName.of("a" + number)), Duration.ofSeconds(number));
            }
            assertThat(use.size()).isLessThan(100);
        }

        @Test
        void approachTheActualRate() {
            AccountUse use = AccountUse.create(Duration.ofSeconds(5));
            for (int number = 0; number < 600; number++) {
                use.record(FIRST, Duration.ofMillis(100L * number));
            }
            assertThat(use.perSecond(FIRST, Duration.ofSeconds(60))).isBetween(9.0, 11.0);
        }
    }

    @Nested
    class Share {

        private final OwnerShare share = OwnerShare.create();

        @Test
        void beginsSmallAndGrowsAfterTheDelay() {
            share.update(9, now);
            assertThat(share.current(now)).isEqualTo(OwnerShare.START_SHARE);
            assertThat(share.current(now.plus(OwnerShare.INCREASE_DELAY))).isEqualTo(9);
        }

        /** Guards against more connections than the limit while two daemons both count themselves as owners. */
        @Test
        void decreasesAtOnceAndGrowsAgainAfterTheDelay() {
            share.update(9, now);
            Duration later = now.plusSeconds(10);
            share.update(0, later);
            assertThat(share.current(later)).isZero();
            share.update(9, later.plusSeconds(1));
            assertThat(share.current(later.plusSeconds(2))).isEqualTo(OwnerShare.START_SHARE);
        }
    }
}
