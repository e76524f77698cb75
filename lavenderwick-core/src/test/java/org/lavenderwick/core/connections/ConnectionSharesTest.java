package org.lavenderwick.core.connections;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ConnectionSharesTest {

    /** Guards against owners that together open more connections than the endpoint takes. */
    @Test
    void sharesNeverSumPastTheLimit() {
        for (int limit = 1; limit <= 200; limit++) {
            for (int owners = 1; owners <= 12; owners++) {
                int sum = 0;
                for (int index = 0; index < owners; index++) {
                    int share = ConnectionShares.share(limit, owners, index);
                    assertThat(share).isNotNegative();
                    sum += share;
                }
                assertThat(sum).as("limit %s, owners %s", limit, owners).isBetween(1, limit);
            }
        }
    }

    @ParameterizedTest
    @CsvSource({
        "20,3,0,12",
        "20,3,1,4",
        "20,5,0,4",
        "20,6,0,3",
        "30,3,0,18",
        "30,6,5,5",
        "20,7,0,2",
        "20,7,6,2",
        "2,3,1,1",
        "2,3,2,0"
    })
    void followsTheRule(int limit, int owners, int index, int expected) {
        assertThat(ConnectionShares.share(limit, owners, index)).isEqualTo(expected);
    }

    /**
     * Guards against a sum past the limit while owners disagree. Each change of the seats reorders the owners or
     * changes their number, and each owner learns of it at another time within the spreading time.
     */
    @Test
    void guardedSharesStayWithinTheLimitWhileOwnersDisagree() {
        Random random = new Random(11);
        int exceededWithoutGuard = 0;
        for (int run = 0; run < 200; run++) {
            List<DelayedIncreaseShare> guards = new ArrayList<>();
            int[] raw = new int[4];
            int[][] pending = new int[4][];
            for (int owner = 0; owner < 4; owner++) {
                guards.add(DelayedIncreaseShare.create(Duration.ofSeconds(3)));
            }
            for (int second = 0; second < 120; second++) {
                Duration now = Duration.ofSeconds(second);
                if (second % 4 == 0) {
                    pending = newOrder(random, second);
                }
                int sum = 0;
                int rawSum = 0;
                for (int owner = 0; owner < 4; owner++) {
                    if (pending[owner][0] == second) {
                        raw[owner] = pending[owner][1];
                        guards.get(owner).update(raw[owner], now);
                    }
                    sum += guards.get(owner).current(now);
                    rawSum += raw[owner];
                }
                assertThat(sum).isLessThanOrEqualTo(20);
                exceededWithoutGuard += rawSum > 20 ? 1 : 0;
            }
        }
        assertThat(exceededWithoutGuard).isPositive();
    }

    /** Returns for each of four daemons when it learns of its new share, and the share: 0 unless it is an owner. */
    private static int[][] newOrder(Random random, int second) {
        int owners = 1 + random.nextInt(4);
        int first = random.nextInt(4);
        int[][] news = new int[4][];
        for (int daemon = 0; daemon < 4; daemon++) {
            int index = (daemon + first) % 4;
            int share = index < owners ? ConnectionShares.share(20, owners, index) : 0;
            news[daemon] = new int[] {second + random.nextInt(3), share};
        }
        return news;
    }

    /** Guards against a guard that never lets a share rise, or that delays a reduction. */
    /** Upkeep updates the share every second; a raise must not wait for a time without updates. */
    @Test
    void updatesWithoutAChangeDoNotHoldARaiseBack() {
        DelayedIncreaseShare guard = DelayedIncreaseShare.create(Duration.ofSeconds(3));
        for (int second = 10; second <= 13; second++) {
            guard.update(12, Duration.ofSeconds(second));
        }
        assertThat(guard.current(Duration.ofSeconds(13))).isEqualTo(12);
    }

    @Test
    void aRaiseWaitsAndAReductionDoesNot() {
        DelayedIncreaseShare guard = DelayedIncreaseShare.create(Duration.ofSeconds(3));
        guard.update(12, Duration.ofSeconds(10));
        assertThat(guard.current(Duration.ofSeconds(12))).isZero();
        assertThat(guard.current(Duration.ofSeconds(13))).isEqualTo(12);
        guard.update(4, Duration.ofSeconds(14));
        assertThat(guard.current(Duration.ofSeconds(14))).isEqualTo(4);
        guard.update(16, Duration.ofSeconds(15));
        assertThat(guard.current(Duration.ofSeconds(17))).isEqualTo(4);
        assertThat(guard.current(Duration.ofSeconds(18))).isEqualTo(16);
    }

    /** Guards against a share that is never raised because its owner reports the same share again and again. */
    @Test
    void reportingTheSameShareAgainDoesNotStartTheWaitAgain() {
        DelayedIncreaseShare guard = DelayedIncreaseShare.create(Duration.ofSeconds(3));
        for (int second = 10; second <= 13; second++) {
            guard.update(12, Duration.ofSeconds(second));
        }
        assertThat(guard.current(Duration.ofSeconds(13))).isEqualTo(12);
    }
}
