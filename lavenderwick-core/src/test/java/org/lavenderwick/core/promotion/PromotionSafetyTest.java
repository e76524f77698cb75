package org.lavenderwick.core.promotion;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.LongStream;

import com.google.common.collect.Comparators;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the promotion protocol of {@code docs/safety.md} in seeded simulations. For longer runs, set the system
 * properties {@code lavenderwick.promotion.seeds} and {@code lavenderwick.promotion.baseSeed}.
 */
class PromotionSafetyTest {

    private static final long SEEDS = Long.getLong("lavenderwick.promotion.seeds", 10_000);
    private static final long BASE_SEED = Long.getLong("lavenderwick.promotion.baseSeed", 20_261_204);

    /** Time limit after healing; allows for late messages, an expiring lease, an abort and one failed candidate. */
    private static final Duration PROGRESS_LIMIT = Duration.ofSeconds(40);

    /** Maximum number of events of a run, about three times the longest of 200,000 runs. */
    private static final long MAX_EVENTS = 20_000;

    /** Twenty times the production bound, so that the drift outweighs message delays. */
    private static final double DRIFT_BOUND = 0.02;

    private static final PromotionTimings TIMINGS =
            timings(PromotionTimings.EVIDENCE_MAX_AGE, DRIFT_BOUND, PromotionTimings.MARGIN);

    /** Returns timings with a shorter lease than in production, so that more leases expire in a run. */
    private static PromotionTimings timings(Duration evidenceMaxAge, double driftBound, Duration margin) {
        PromotionTimings production = PromotionTimings.DEFAULT;
        return new PromotionTimings(
                evidenceMaxAge,
                driftBound,
                margin,
                production.probeInterval(),
                production.suspicionAfter(),
                Duration.ofSeconds(3),
                production.platformTimeout(),
                production.endpointTimeout(),
                production.promoteLimit(),
                Duration.ofMillis(2_500),
                production.startLimit(),
                production.retryBase(),
                production.retryCap());
    }

    private static PromotionSimulation.Safeguards allSafeguards() {
        return new PromotionSimulation.Safeguards(TIMINGS, TIMINGS, true, false);
    }

    private static PromotionSimulation run(long seed, PromotionSimulation.Safeguards safeguards) {
        return new PromotionSimulation(seed, safeguards).runToCompletion(PROGRESS_LIMIT, MAX_EVENTS);
    }

    private static Optional<String> runForViolation(long seed, PromotionSimulation.Safeguards safeguards) {
        try {
            run(seed, safeguards);
            return Optional.empty();
        } catch (PromotionSimulation.Violation violation) {
            return Optional.of(violation.getMessage());
        }
    }

    /** Guards against late acknowledgements, two primaries of a term, lost writes in a switchover and stuck runs. */
    @Test
    void holdsInEverySeed() {
        Map<PromotionSimulation.Event, Long> events = new EnumMap<>(PromotionSimulation.Event.class);
        Duration slowest = Duration.ZERO;
        long mostEvents = 0;
        for (long seed = BASE_SEED; seed < BASE_SEED + SEEDS; seed++) {
            try {
                PromotionSimulation run = run(seed, allSafeguards());
                run.events().forEach((event, count) -> events.merge(event, (long) count, Long::sum));
                mostEvents = Math.max(mostEvents, run.network.eventCount());
                slowest = Comparators.max(slowest, run.timeSinceHealed());
            } catch (PromotionSimulation.Violation violation) {
                throw new AssertionError("seed " + seed + ": " + violation.getMessage(), violation);
            }
        }
        System.out.printf(
                "[promotion] %d seeds from %d: %s, slowest end %s, most events %d%n",
                SEEDS, BASE_SEED, events, slowest, mostEvents);
        assertThat(events.keySet())
                .as("events that the runs provoke")
                .containsExactly(PromotionSimulation.Event.values());
        assertThat(events.values()).as("events %s", events).allMatch(count -> count > SEEDS / 100);
    }

    /** Checks that the simulation detects a violation when any one safeguard is removed, so that each is necessary. */
    @Nested
    class WithoutOneSafeguard {

        private static final long TRIES = 3_000;

        private void assertFails(PromotionSimulation.Safeguards safeguards, String expected) {
            Optional<String> found = LongStream.range(BASE_SEED, BASE_SEED + TRIES)
                    .mapToObj(seed -> runForViolation(seed, safeguards))
                    .flatMap(Optional::stream)
                    .filter(message -> message.startsWith(expected))
                    .findFirst();
            assertThat(found).as("violation '%s'", expected).isPresent();
        }

        @Test
        void failsWithoutTheWait() {
            PromotionTimings noWait = timings(Duration.ofNanos(1), DRIFT_BOUND, Duration.ZERO);
            assertFails(new PromotionSimulation.Safeguards(noWait, TIMINGS, true, false), "late acknowledgement");
        }

        @Test
        void failsWithAWaitThatIgnoresDrift() {
            PromotionTimings noDrift = timings(PromotionTimings.EVIDENCE_MAX_AGE, 0, Duration.ZERO);
            assertFails(new PromotionSimulation.Safeguards(noDrift, TIMINGS, true, false), "late acknowledgement");
        }

        @Test
        void failsWithoutTheEvidenceCheck() {
            PromotionTimings unlimited = timings(Duration.ofDays(1), DRIFT_BOUND, PromotionTimings.MARGIN);
            assertFails(new PromotionSimulation.Safeguards(TIMINGS, unlimited, true, false), "late acknowledgement");
        }

        @Test
        void failsWithoutTheRevisionCheck() {
            assertFails(new PromotionSimulation.Safeguards(TIMINGS, TIMINGS, false, false), "second primary");
        }

        @Test
        void failsWithoutTheSealMajority() {
            assertFails(new PromotionSimulation.Safeguards(TIMINGS, TIMINGS, true, true), "late acknowledgement");
        }
    }
}
