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

    private static WorkEstimate work(RankName rank, Duration timeUntilDue, Duration expectedWait) {
        return new WorkEstimate(rank, 1, timeUntilDue, expectedWait, SERVICE);
    }

    private static PaidLevel paid(int connections, long load) {
        return new PaidLevel(usage(MINUTE, 0, 0).period(), connections, load);
    }

    private static MinuteUsage usage(Instant minute, int connections, long statements) {
        return new MinuteUsage(MinuteMeter.minuteOf(minute), connections, statements);
    }

    private boolean mayOpen(int open, int paidConnections, int peak, WorkEstimate work, Instant now) {
        return policy.mayOpenConnection(paid(paidConnections, 0), usage(now, peak, 0), open, work, now);
    }

    @Nested
    class Connections {

        private final WorkEstimate inTime = work(BULK, Duration.ofSeconds(1), Duration.ofMillis(900));
        private final WorkEstimate atRisk = work(BULK, Duration.ofSeconds(1), Duration.ofMillis(1_100));

        /** Guards against charging a month for a peak that no target time required. */
        @Test
        void staysAtThePaidLevelWhileWorkIsInTime() {
            assertThat(mayOpen(3, 4, 3, inTime, MINUTE)).isTrue();
            assertThat(mayOpen(4, 4, 4, inTime, MINUTE)).isFalse();
            assertThat(mayOpen(4, 4, 6, inTime, MINUTE))
                    .as("below the peak of this minute")
                    .isTrue();
            assertThat(mayOpen(0, 0, 0, inTime, MINUTE))
                    .as("the first connection")
                    .isTrue();
        }

        /** Guards against opening several connections before the first one can take effect. */
        @Test
        void opensOneConnectionAtATimeForWorkThatWouldBeOverdue() {
            int open = 4;
            for (int millis = 0; millis < 1_000; millis++) {
                if (mayOpen(open, 4, open, atRisk, MINUTE.plusMillis(millis))) {
                    open++;
                }
            }
            assertThat(open).isEqualTo(14);
        }

        /** Guards against an overdue backlog after a failover that raises the charges of a whole month. */
        @Test
        void overdueWorkOpensNoConnection() {
            WorkEstimate overdue = work(URGENT, Duration.ofMillis(-1), Duration.ofSeconds(2));
            assertThat(mayOpen(4, 4, 4, overdue, MINUTE)).isFalse();
        }

        /** Guards against the peak of an earlier month or minute that allows usage in the current one. */
        @Test
        void earlierPeaksAllowNoUsage() {
            PaidLevel february = new PaidLevel(paid(0, 0).period().minusMonths(1), 20, 20);
            MinuteUsage lastMinute = usage(MINUTE.minusSeconds(60), 20, 20);
            assertThat(policy.mayOpenConnection(february, lastMinute, 1, inTime, MINUTE))
                    .isFalse();
        }
    }

    @Nested
    class Statements {

        private final Instant fiftySecondsIn = MINUTE.plusSeconds(50);

        private boolean mayStart(WorkEstimate work, long started, Instant now) {
            return policy.mayStart(paid(0, 1_000), usage(now, 0, started), work, now);
        }

        /** Guards against the least urgent rank using the paid load that more urgent work needs later in the minute. */
        @Test
        void leastUrgentWorkReservesLoadForMoreUrgentWork() {
            for (int count = 0; count < 500; count++) {
                policy.recordStarted(work(URGENT, SERVICE, SERVICE), fiftySecondsIn);
            }
            WorkEstimate bulk = work(BULK, Duration.ofMinutes(2), SERVICE);
            WorkEstimate urgent = work(URGENT, Duration.ofMinutes(2), SERVICE);
            assertThat(mayStart(bulk, 899, fiftySecondsIn)).isTrue();
            assertThat(mayStart(bulk, 900, fiftySecondsIn)).isFalse();
            assertThat(mayStart(urgent, 900, fiftySecondsIn)).isTrue();
            assertThat(mayStart(urgent, 1_000, fiftySecondsIn)).isFalse();
        }

        /** Guards against deferral of work that is due in the current minute, which would make it overdue. */
        @Test
        void workDueInThisMinuteStarts() {
            assertThat(mayStart(work(BULK, Duration.ofSeconds(10), SERVICE), 5_000, fiftySecondsIn))
                    .isTrue();
            assertThat(mayStart(work(BULK, Duration.ofSeconds(11), SERVICE), 5_000, fiftySecondsIn))
                    .isFalse();
        }
    }

    private record Pending(Instant due, RankName rank) {}

    /**
     * Guards against deferral that makes work overdue, for random arrivals and paid loads. The server has capacity for
     * all work, so only the policy can delay a start.
     */
    @Property(tries = 100, seed = "31")
    void deferralNeverMakesWorkOverdue(@ForAll long seed) {
        Random random = new Random(seed);
        PaidLevelPolicy freshPolicy = PaidLevelPolicy.create(List.of(URGENT, BULK));
        // About 200 statements arrive per minute, so the policy must defer some at every paid load chosen here.
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
                Duration timeUntilDue = Duration.between(now, pending.due());
                WorkEstimate work = work(pending.rank(), timeUntilDue, Duration.ZERO);
                if (freshPolicy.mayStart(paid, meter.current(now), work, now)) {
                    assertThat(timeUntilDue).isGreaterThanOrEqualTo(SERVICE);
                    freshPolicy.recordStarted(work, now);
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
