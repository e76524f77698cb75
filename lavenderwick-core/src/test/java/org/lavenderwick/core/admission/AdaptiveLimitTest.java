package org.lavenderwick.core.admission;

import java.time.Duration;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class AdaptiveLimitTest {

    /**
     * Simulates an endpoint whose latency is constant up to its number of slots and proportional to the requests in
     * flight above it. Returns the mean limit over the second half of the responses.
     *
     * @param noise relative width of the uniform noise on each latency
     */
    private static double meanLimitUnderLoad(
            ConcurrencyLimit limit, int slots, double noise, int responses, long seed) {
        Random random = new Random(seed);
        long sum = 0;
        for (int count = 0; count < responses; count++) {
            int inFlight = limit.limit();
            double latency = 5e6 * Math.max(1, (double) inFlight / slots);
            limit.recordResponse(
                    Duration.ofNanos((long) (latency * (1 + noise * (random.nextDouble() - 0.5)))), inFlight);
            sum += count >= responses / 2 ? limit.limit() : 0;
        }
        return sum / (responses / 2.0);
    }

    @Nested
    class Convergence {

        /** The limit must not grow without bound, collapse to one, or stay at a wrong initial value. */
        @ParameterizedTest
        @CsvSource({"2,2,0", "3,3,0", "3,1,0", "3,12,0", "8,3,0", "2,2,1", "3,3,1", "3,12,1", "8,3,1", "2,18,2"})
        void convergesToTheSlots(int slots, int initial, double noise) {
            AdaptiveLimit limit = AdaptiveLimit.create(initial, 18);
            assertThat(meanLimitUnderLoad(limit, slots, noise, 40_000, 17)).isBetween(slots - 0.7, slots + 1.0);
        }

        /** The limit must follow when the endpoint loses or gains slots. */
        @Test
        void followsAChangeOfTheSlots() {
            AdaptiveLimit limit = AdaptiveLimit.create(6, 18);
            meanLimitUnderLoad(limit, 6, 0.5, 20_000, 1);
            assertThat(meanLimitUnderLoad(limit, 3, 0.5, 40_000, 2)).isBetween(2.3, 4.0);
            assertThat(meanLimitUnderLoad(limit, 8, 0.5, 40_000, 3)).isBetween(7.0, 9.0);
        }

        /** A lasting increase of the latency of all statements must not keep the limit at one. */
        @Test
        void recoversAfterALastingLatencyIncrease() {
            AdaptiveLimit limit = AdaptiveLimit.create(4, 18);
            for (int count = 0; count < 2_000; count++) {
                limit.recordResponse(Duration.ofNanos(100_000), Math.min(4, limit.limit()));
            }
            assertThat(meanLimitUnderLoad(limit, 4, 0.5, 60_000, 5)).isBetween(3.3, 5.0);
        }
    }

    @Nested
    class Bounds {

        /** The limit must not exceed the connection share, also when the share drops because the owners change. */
        @Test
        void staysWithinTheMaximum() {
            AdaptiveLimit limit = AdaptiveLimit.create(10, 4);
            assertThat(limit.limit()).isEqualTo(4);
            meanLimitUnderLoad(limit, 50, 0, 5_000, 1);
            assertThat(limit.limit()).isLessThanOrEqualTo(4);
            limit.setMaximum(2);
            assertThat(limit.limit()).isLessThanOrEqualTo(2);
            limit.setMaximum(0);
            assertThat(limit.limit()).isEqualTo(1);
        }

        /** A single network failure times out many requests at once and must not collapse the limit. */
        @Test
        void timeoutsOfOneRoundReduceTheLimitOnce() {
            AdaptiveLimit limit = AdaptiveLimit.create(10, 18);
            for (int count = 0; count < 10; count++) {
                limit.recordTimeout();
            }
            assertThat(limit.limit()).isEqualTo(7);
        }
    }
}
