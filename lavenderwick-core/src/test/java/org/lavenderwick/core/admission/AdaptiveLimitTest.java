package org.lavenderwick.core.admission;

import java.time.Duration;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class AdaptiveLimitTest {

    /** An endpoint whose latency is flat up to its slots and grows in proportion above them. */
    private static double meanLimitUnderLoad(ConcurrencyLimit limit, int slots, double noise, int answers, long seed) {
        Random random = new Random(seed);
        long sum = 0;
        for (int count = 0; count < answers; count++) {
            int inFlight = limit.limit();
            double latency = 5e6 * Math.max(1, (double) inFlight / slots);
            limit.recordResponse(
                    Duration.ofNanos((long) (latency * (1 + noise * (random.nextDouble() - 0.5)))), inFlight);
            sum += count >= answers / 2 ? limit.limit() : 0;
        }
        return sum / (answers / 2.0);
    }

    @Nested
    class Settling {

        /** Guards against a limit that runs away, collapses, or trusts a wrong hint. */
        @ParameterizedTest
        @CsvSource({"2,2,0", "3,3,0", "3,1,0", "3,12,0", "8,3,0", "2,2,1", "3,3,1", "3,12,1", "8,3,1", "2,18,2"})
        void settlesNearTheSlots(int slots, int hint, double noise) {
            AdaptiveLimit limit = AdaptiveLimit.create(hint, 18);
            assertThat(meanLimitUnderLoad(limit, slots, noise, 40_000, 17)).isBetween(slots - 0.7, slots + 1.0);
        }

        /** Guards against a limit that keeps the old slots when the endpoint gets slower or faster. */
        @Test
        void followsAChangeOfTheEndpoint() {
            AdaptiveLimit limit = AdaptiveLimit.create(6, 18);
            meanLimitUnderLoad(limit, 6, 0.5, 20_000, 1);
            assertThat(meanLimitUnderLoad(limit, 3, 0.5, 40_000, 2)).isBetween(2.3, 4.0);
            assertThat(meanLimitUnderLoad(limit, 8, 0.5, 40_000, 3)).isBetween(7.0, 9.0);
        }

        /** Guards against a limit that stays at one after all statements became slower for good. */
        @Test
        void recoversWhenAllStatementsBecomeSlower() {
            AdaptiveLimit limit = AdaptiveLimit.create(4, 18);
            for (int count = 0; count < 2_000; count++) {
                limit.recordResponse(Duration.ofNanos(100_000), Math.min(4, limit.limit()));
            }
            assertThat(meanLimitUnderLoad(limit, 4, 0.5, 60_000, 5)).isBetween(3.3, 5.0);
        }
    }

    @Nested
    class Bounds {

        /** Guards against a limit above the connection share, as while owners change. */
        @Test
        void staysWithinTheShare() {
            AdaptiveLimit limit = AdaptiveLimit.create(10, 4);
            assertThat(limit.limit()).isEqualTo(4);
            meanLimitUnderLoad(limit, 50, 0, 5_000, 1);
            assertThat(limit.limit()).isLessThanOrEqualTo(4);
            limit.setMaximum(2);
            assertThat(limit.limit()).isLessThanOrEqualTo(2);
            limit.setMaximum(0);
            assertThat(limit.limit()).isEqualTo(1);
        }

        /** Guards against one silent path, which times out many requests at once, that collapses the limit. */
        @Test
        void timeoutsOfOneRoundLowerTheLimitOnce() {
            AdaptiveLimit limit = AdaptiveLimit.create(10, 18);
            for (int count = 0; count < 10; count++) {
                limit.recordTimeout();
            }
            assertThat(limit.limit()).isEqualTo(7);
        }
    }
}
