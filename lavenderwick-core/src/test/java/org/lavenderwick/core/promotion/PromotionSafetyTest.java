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
 * Checks the protocol of {@code docs/safety.md} in seeded runs. For a longer run set the system properties
 * {@code lavenderwick.promotion.seeds} and {@code lavenderwick.promotion.baseSeed}.
 */
class PromotionSafetyTest {

    private static final long SEEDS = Long.getLong("lavenderwick.promotion.seeds", 10_000);
    private static final long BASE_SEED = Long.getLong("lavenderwick.promotion.baseSeed", 20_261_204);

    /** Simulated time for the last switchover: late messages, a lapsing lease, an abort and one failed candidate. */
    private static final Duration PROGRESS_LIMIT = Duration.ofSeconds(40);

    /** Events of a whole run; about three times what the longest of 200,000 runs took. */
    private static final long MAX_EVENTS = 20_000;

    /** Twenty times the bound of the fleet, so that the drift outweighs the delays of messages. */
    private static final double DRIFT_BOUND = 0.02;

    private static final PromotionTimings TIMINGS =
            timings(PromotionTimings.EVIDENCE_MAX_AGE, DRIFT_BOUND, PromotionTimings.MARGIN);

    /** The lease is shorter than in the fleet, so that more leases lapse in a run. */
    private static PromotionTimings timings(Duration evidenceMaxAge, double driftBound, Duration margin) {
        PromotionTimings fleet = PromotionTimings.DEFAULT;
        return new PromotionTimings(
                evidenceMaxAge,
                driftBound,
                margin,
                fleet.probeInterval(),
                fleet.suspicionAfter(),
                Duration.ofSeconds(3),
                fleet.platformTimeout(),
                fleet.endpointTimeout(),
                fleet.promoteLimit(),
                Duration.ofMillis(2_500),
                fleet.startLimit(),
                fleet.retryBase(),
                fleet.retryCap());
    }

    private static PromotionRun.Guards allGuards() {
        return new PromotionRun.Guards(TIMINGS, TIMINGS, true, false);
    }

    private static PromotionRun run(long seed, PromotionRun.Guards guards) {
        return new PromotionRun(seed, guards).toEnd(PROGRESS_LIMIT, MAX_EVENTS);
    }

    private static Optional<String> violation(long seed, PromotionRun.Guards guards) {
        try {
            run(seed, guards);
            return Optional.empty();
        } catch (PromotionRun.Violation violation) {
            return Optional.of(violation.getMessage());
        }
    }

    /** Guards against late acknowledgements, a second primary of a term, planned losses and stuck promotions. */
    @Test
    void holdsInEverySeed() {
        Map<PromotionRun.Event, Long> events = new EnumMap<>(PromotionRun.Event.class);
        Duration slowest = Duration.ZERO;
        long mostEvents = 0;
        for (long seed = BASE_SEED; seed < BASE_SEED + SEEDS; seed++) {
            try {
                PromotionRun run = run(seed, allGuards());
                run.events().forEach((event, count) -> events.merge(event, (long) count, Long::sum));
                mostEvents = Math.max(mostEvents, run.network.eventCount());
                slowest = Comparators.max(slowest, run.timeAfterFaults());
            } catch (PromotionRun.Violation violation) {
                throw new AssertionError("seed " + seed + ": " + violation.getMessage(), violation);
            }
        }
        System.out.printf(
                "[promotion] %d seeds from %d: %s, slowest end %s, most events %d%n",
                SEEDS, BASE_SEED, events, slowest, mostEvents);
        assertThat(events.keySet()).as("events that the runs provoke").containsExactly(PromotionRun.Event.values());
        assertThat(events.values()).as("events %s", events).allMatch(count -> count > SEEDS / 100);
    }

    /** Each guard alone is needed: without it the property fails, which also shows that the runs can fail. */
    @Nested
    class WithoutOneGuard {

        private static final long TRIES = 3_000;

        private void assertFails(PromotionRun.Guards guards, String expected) {
            Optional<String> found = LongStream.range(BASE_SEED, BASE_SEED + TRIES)
                    .mapToObj(seed -> violation(seed, guards))
                    .flatMap(Optional::stream)
                    .filter(message -> message.startsWith(expected))
                    .findFirst();
            assertThat(found).as("violation '%s'", expected).isPresent();
        }

        @Test
        void failsWithoutTheWait() {
            PromotionTimings noWait = timings(Duration.ofNanos(1), DRIFT_BOUND, Duration.ZERO);
            assertFails(new PromotionRun.Guards(noWait, TIMINGS, true, false), "late acknowledgement");
        }

        @Test
        void failsWithAWaitThatIgnoresDrift() {
            PromotionTimings noDrift = timings(PromotionTimings.EVIDENCE_MAX_AGE, 0, Duration.ZERO);
            assertFails(new PromotionRun.Guards(noDrift, TIMINGS, true, false), "late acknowledgement");
        }

        @Test
        void failsWithoutTheEvidenceCheck() {
            PromotionTimings unlimited = timings(Duration.ofDays(1), DRIFT_BOUND, PromotionTimings.MARGIN);
            assertFails(new PromotionRun.Guards(TIMINGS, unlimited, true, false), "late acknowledgement");
        }

        @Test
        void failsWithoutTheRevisionCheck() {
            assertFails(new PromotionRun.Guards(TIMINGS, TIMINGS, false, false), "second primary");
        }

        @Test
        void failsWithoutTheSealMajority() {
            assertFails(new PromotionRun.Guards(TIMINGS, TIMINGS, true, true), "late acknowledgement");
        }
    }
}
