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

    /** The owners must not together open more connections than the endpoint accepts. */
    @Test
    void sharesSumToAtMostTheLimit() {
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
    void calculatesTheShareOfAnOwner(int limit, int owners, int index, int expected) {
        assertThat(ConnectionShares.share(limit, owners, index)).isEqualTo(expected);
    }

    /**
     * The shares in effect must stay within the limit while owners know different seat tables. Each change reorders the
     * owners or changes their number, and each owner learns of it at another time, but within the increase delay.
     */
    @Test
    void sharesInEffectStayWithinTheLimitWhileOwnersDisagree() {
        Random random = new Random(11);
        int exceededWithoutDelay = 0;
        for (int run = 0; run < 200; run++) {
            List<DelayedIncreaseShare> shares = new ArrayList<>();
            int[] undelayed = new int[4];
            int[][] changes = new int[4][];
            for (int owner = 0; owner < 4; owner++) {
                shares.add(DelayedIncreaseShare.create(Duration.ofSeconds(3)));
            }
            for (int second = 0; second < 120; second++) {
                Duration now = Duration.ofSeconds(second);
                if (second % 4 == 0) {
                    changes = reorderOwners(random, second);
                }
                int sum = 0;
                int undelayedSum = 0;
                for (int owner = 0; owner < 4; owner++) {
                    if (changes[owner][0] == second) {
                        undelayed[owner] = changes[owner][1];
                        shares.get(owner).update(undelayed[owner], now);
                    }
                    sum += shares.get(owner).current(now);
                    undelayedSum += undelayed[owner];
                }
                assertThat(sum).isLessThanOrEqualTo(20);
                exceededWithoutDelay += undelayedSum > 20 ? 1 : 0;
            }
        }
        assertThat(exceededWithoutDelay).isPositive();
    }

    /**
     * Returns for each of four daemons the second at which it learns of its new share, followed by that share, which is
     * 0 unless the daemon is an owner.
     */
    private static int[][] reorderOwners(Random random, int second) {
        int owners = 1 + random.nextInt(4);
        int first = random.nextInt(4);
        int[][] changes = new int[4][];
        for (int daemon = 0; daemon < 4; daemon++) {
            int index = (daemon + first) % 4;
            int share = index < owners ? ConnectionShares.share(20, owners, index) : 0;
            changes[daemon] = new int[] {second + random.nextInt(3), share};
        }
        return changes;
    }

    /** The share is updated every second; unchanged updates must not delay an increase further. */
    @Test
    void unchangedUpdatesDoNotDelayAnIncrease() {
        DelayedIncreaseShare share = DelayedIncreaseShare.create(Duration.ofSeconds(3));
        for (int second = 10; second <= 13; second++) {
            share.update(12, Duration.ofSeconds(second));
        }
        assertThat(share.current(Duration.ofSeconds(13))).isEqualTo(12);
    }

    /** An increase must take effect after the delay, and a decrease at once. */
    @Test
    void delaysIncreasesOnly() {
        DelayedIncreaseShare share = DelayedIncreaseShare.create(Duration.ofSeconds(3));
        share.update(12, Duration.ofSeconds(10));
        assertThat(share.current(Duration.ofSeconds(12))).isZero();
        assertThat(share.current(Duration.ofSeconds(13))).isEqualTo(12);
        share.update(4, Duration.ofSeconds(14));
        assertThat(share.current(Duration.ofSeconds(14))).isEqualTo(4);
        share.update(16, Duration.ofSeconds(15));
        assertThat(share.current(Duration.ofSeconds(17))).isEqualTo(4);
        assertThat(share.current(Duration.ofSeconds(18))).isEqualTo(16);
    }

    /** Repeated updates with the same share must not restart the delay, or the share would never increase. */
    @Test
    void repeatedUpdatesDoNotRestartTheDelay() {
        DelayedIncreaseShare share = DelayedIncreaseShare.create(Duration.ofSeconds(3));
        for (int second = 10; second <= 13; second++) {
            share.update(12, Duration.ofSeconds(second));
        }
        assertThat(share.current(Duration.ofSeconds(13))).isEqualTo(12);
    }
}
