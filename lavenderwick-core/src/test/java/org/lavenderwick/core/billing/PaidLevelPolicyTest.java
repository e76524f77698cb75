package org.lavenderwick.core.billing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.RankName;

import static org.assertj.core.api.Assertions.assertThat;

class PaidLevelPolicyTest {

    private static final RankName URGENT = RankName.of("urgent");
    private static final RankName BULK = RankName.of("bulk");
    private static final Instant MINUTE = Instant.parse("2026-03-10T10:00:00Z");
    private static final Duration SERVICE = Duration.ofMillis(10);

    private final PaidLevelPolicy policy = PaidLevelPolicy.create(List.of(URGENT, BULK));

    private static WorkEstimate demand(RankName rank, Duration untilDue, Duration expectedWait) {
        return new WorkEstimate(rank, 1, untilDue, expectedWait, SERVICE);
    }

    private static PaidLevel paid(int connections, long load) {
        return new PaidLevel(usage(MINUTE, 0, 0).period(), connections, load);
    }

    private static MinuteUsage usage(Instant minute, int connections, long statements) {
        return new MinuteUsage(MinuteMeter.minuteOf(minute), connections, statements);
    }

    private boolean mayOpen(int open, int paidConnections, int peak, WorkEstimate demand, Instant now) {
        return policy.mayOpenConnection(paid(paidConnections, 0), usage(now, peak, 0), open, demand, now);
    }

    @Nested
    class Connections {

        private final WorkEstimate patient = demand(BULK, Duration.ofSeconds(1), Duration.ofMillis(900));
        private final WorkEstimate pressed = demand(BULK, Duration.ofSeconds(1), Duration.ofMillis(1_100));

        /** Guards against a month billed for a spike that no target asked for. */
        @Test
        void staysAtThePaidLevelWhileTargetsAreMet() {
            assertThat(mayOpen(3, 4, 3, patient, MINUTE)).isTrue();
            assertThat(mayOpen(4, 4, 4, patient, MINUTE)).isFalse();
            assertThat(mayOpen(4, 4, 6, patient, MINUTE))
                    .as("below the peak of this minute")
                    .isTrue();
            assertThat(mayOpen(0, 0, 0, patient, MINUTE))
                    .as("the first connection")
                    .isTrue();
        }

        /** Guards against a burst of raises before the first one can help. */
        @Test
        void raisesOneAtATimeForWorkThatWouldMissItsTarget() {
            int open = 4;
            for (int millis = 0; millis < 1_000; millis++) {
                if (mayOpen(open, 4, open, pressed, MINUTE.plusMillis(millis))) {
                    open++;
                }
            }
            assertThat(open).isEqualTo(14);
        }

        /** Guards against the backlog of a failover, late already, that raises the level for a month. */
        @Test
        void lateWorkDoesNotRaise() {
            WorkEstimate late = demand(URGENT, Duration.ofMillis(-1), Duration.ofSeconds(2));
            assertThat(mayOpen(4, 4, 4, late, MINUTE)).isFalse();
        }

        /** Guards against the level of an earlier month or minute that allows usage in this one. */
        @Test
        void earlierPeaksAllowNothing() {
            PaidLevel february = new PaidLevel(paid(0, 0).period().minusMonths(1), 20, 20);
            MinuteUsage lastMinute = usage(MINUTE.minusSeconds(60), 20, 20);
            assertThat(policy.mayOpenConnection(february, lastMinute, 1, patient, MINUTE))
                    .isFalse();
        }
    }

    @Nested
    class Statements {

        private final Instant late = MINUTE.plusSeconds(50);

        private boolean mayStart(WorkEstimate demand, long used, Instant now) {
            return policy.mayStart(paid(0, 1_000), usage(now, 0, used), demand, now);
        }

        /** Guards against a flood of the least urgent rank that uses up the level before urgent work needs it. */
        @Test
        void leastUrgentWorkLeavesRoomForMoreUrgentWork() {
            for (int count = 0; count < 500; count++) {
                policy.recordStarted(demand(URGENT, SERVICE, SERVICE), late);
            }
            WorkEstimate bulk = demand(BULK, Duration.ofMinutes(2), SERVICE);
            WorkEstimate urgent = demand(URGENT, Duration.ofMinutes(2), SERVICE);
            assertThat(mayStart(bulk, 899, late)).isTrue();
            assertThat(mayStart(bulk, 900, late)).isFalse();
            assertThat(mayStart(urgent, 900, late)).isTrue();
            assertThat(mayStart(urgent, 1_000, late)).isFalse();
        }

        /** Guards against deferral that saves nothing: the work is due within this minute. */
        @Test
        void workDueInThisMinuteStarts() {
            assertThat(mayStart(demand(BULK, Duration.ofSeconds(10), SERVICE), 5_000, late))
                    .isTrue();
            assertThat(mayStart(demand(BULK, Duration.ofSeconds(11), SERVICE), 5_000, late))
                    .isFalse();
        }
    }

    private record Pending(Instant due, RankName rank) {}

    /**
     * Guards against deferral that makes a request miss its due time, with any arrivals and paid load. The server
     * has room for all work, so only the policy can delay a start.
     */
    @Property(tries = 100, seed = "31")
    void deferralNeverMakesWorkLate(@ForAll long seed) {
        Random random = new Random(seed);
        PaidLevelPolicy fresh = PaidLevelPolicy.create(List.of(URGENT, BULK));
        // About 200 statements arrive per minute, so every level drawn here makes the policy defer some.
        PaidLevel paid = paid(0, random.nextInt(150));
        MinuteMeter meter = MinuteMeter.startingAt(MINUTE);
        Deque<Pending> waiting = new ArrayDeque<>();
        int deferred = 0;
        for (int step = 0; step < 2_400; step++) {
            Instant now = MINUTE.plusMillis(step * 100L);
            if (random.nextInt(3) == 0) {
                RankName rank = random.nextBoolean() ? URGENT : BULK;
                waiting.add(new Pending(now.plusMillis(500 + random.nextInt(90_000)), rank));
            }
            for (Pending pending : List.copyOf(waiting)) {
                Duration untilDue = Duration.between(now, pending.due());
                WorkEstimate demand = demand(pending.rank(), untilDue, Duration.ZERO);
                if (fresh.mayStart(paid, meter.current(now), demand, now)) {
                    assertThat(untilDue).isGreaterThanOrEqualTo(SERVICE);
                    fresh.recordStarted(demand, now);
                    meter.recordStatements(1, now);
                    waiting.remove(pending);
                } else {
                    deferred++;
                }
            }
        }
        assertThat(waiting).allMatch(pending -> pending.due().isAfter(MINUTE.plusSeconds(240)));
        assertThat(deferred).isPositive();
    }
}
