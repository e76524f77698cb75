package org.lavenderwick.core.admission;

import java.time.Duration;
import java.util.List;

import io.vavr.control.Either;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderwick.core.configuration.RankSettings;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lavenderwick.core.admission.OverloadSimulation.BULK;
import static org.lavenderwick.core.admission.OverloadSimulation.RANKS;
import static org.lavenderwick.core.admission.OverloadSimulation.URGENT;

class RankedAdmissionQueueTest {

    private static final Duration MINUTE = Duration.ofSeconds(60);

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    private static WorkItem item(long id, RankSettings rank, long arrival, long deadline) {
        return WorkItem.of(id, rank, Access.READ, 1, ms(arrival), ms(deadline));
    }

    private static RankedAdmissionQueue queue() {
        return RankedAdmissionQueue.create(RANKS, 500);
    }

    @Nested
    class Floods {

        /** Guards against urgent work that waits behind a flood of the least urgent rank. */
        @Test
        void urgentWorkPassesAFloodOfTheLowestRank() {
            OverloadSimulation ranked = new OverloadSimulation(queue(), 10)
                    .arrivalEvery(BULK, 2)
                    .arrivalEvery(URGENT, 50)
                    .run(MINUTE);
            OverloadSimulation fifo = new OverloadSimulation(FifoAdmissionQueue.create(1500), 10)
                    .arrivalEvery(BULK, 2)
                    .arrivalEvery(URGENT, 50)
                    .run(MINUTE);
            assertThat(ranked.served(URGENT)).isBetween(1198, 1200);
            assertThat(ranked.longestWait(URGENT)).isLessThanOrEqualTo(ms(20));
            assertThat(fifo.longestWait(URGENT)).isGreaterThan(ms(1000));
        }

        /** Guards against lower ranks that starve, or urgent work that loses more than their floor shares. */
        @ParameterizedTest
        @ValueSource(ints = {0, 1, 2})
        void everyRankKeepsItsFloorShareDuringAFloodOfAnyRank(int flooding) {
            OverloadSimulation simulation = new OverloadSimulation(queue(), 10);
            RANKS.forEach(rank -> simulation.arrivalEvery(rank, 15));
            simulation.arrivalEvery(RANKS.get(flooding), 1).run(MINUTE);
            for (RankSettings rank : RANKS) {
                assertThat((double) simulation.served(rank) / simulation.served())
                        .as("share of rank %s", rank.name())
                        .isGreaterThanOrEqualTo(rank.floorShare() * 0.98);
            }
            assertThat((double) simulation.served(URGENT) / simulation.served()).isGreaterThan(0.65);
        }

        /** Guards against floor shares that sum to more than the capacity and so starve the urgent rank. */
        @Test
        void floorSharesAboveTheWholeAreScaledDown() {
            List<RankSettings> greedy = List.of(
                    new RankSettings(URGENT.name(), ms(100), 1, 0.2), new RankSettings(BULK.name(), ms(100), 1, 1));
            OverloadSimulation simulation = new OverloadSimulation(RankedAdmissionQueue.create(greedy, 500), 10)
                    .arrivalEvery(URGENT, 1)
                    .arrivalEvery(BULK, 1)
                    .run(MINUTE);
            assertThat((double) simulation.served(URGENT) / simulation.served()).isBetween(0.16, 0.18);
        }

        /** Guards against a rank that keeps credit while it has no work and then holds up urgent work. */
        @Test
        void aRankWithoutWorkKeepsNoCredit() {
            RankedAdmissionQueue queue = queue();
            queue.offer(item(0, BULK, 0, 10_000), ms(0));
            for (int id = 1; id <= 30; id++) {
                queue.offer(item(id, URGENT, 0, 10_000), ms(0));
                queue.offer(item(1000 + id, BULK, 0, 10_000), ms(0));
            }
            takeUrgent(queue, 9);
            for (int id = 0; id <= 30; id++) {
                queue.cancel(id == 0 ? 0 : 1000 + id);
            }
            queue.offer(item(2000, BULK, 0, 10_000), ms(0));
            takeUrgent(queue, 9);
        }

        private void takeUrgent(RankedAdmissionQueue queue, int count) {
            for (int taken = 0; taken < count; taken++) {
                assertThat(queue.poll(StartRule.ANY, ms(0)).orElseThrow().rank())
                        .isEqualTo(URGENT.name());
            }
        }
    }

    @Nested
    class Lateness {

        /** Guards against an overloaded rank that serves only work which is already late. */
        @ParameterizedTest
        @ValueSource(ints = {1, 5})
        void overloadServesWorkThatStillMeetsItsTarget(int arrivalMillis) {
            OverloadSimulation ranked = new OverloadSimulation(queue(), 10)
                    .arrivalEvery(BULK, arrivalMillis)
                    .run(MINUTE);
            OverloadSimulation fifo = new OverloadSimulation(FifoAdmissionQueue.create(500), 10)
                    .arrivalEvery(BULK, arrivalMillis)
                    .run(MINUTE);
            assertThat((double) ranked.servedOnTime() / ranked.served()).isGreaterThan(0.9);
            assertThat((double) fifo.servedOnTime() / fifo.served()).isLessThan(0.1);
        }

        /** Guards against answers at the last moment, which the way back to the caller makes late. */
        @ParameterizedTest
        @ValueSource(ints = {1, 5})
        void overloadLeavesHalfOfTheTargetForTheWayToTheCaller(int arrivalMillis) {
            OverloadSimulation ranked = new OverloadSimulation(queue(), 10)
                    .arrivalEvery(BULK, arrivalMillis)
                    .run(MINUTE);
            long early = ranked.servedWithin(BULK, BULK.target().dividedBy(2));
            assertThat((double) early / ranked.served()).isGreaterThan(0.9);
        }

        /** Guards against a queue full of late work that turns fresh work away. */
        @Test
        void freshWorkTakesThePlaceOfLateWork() {
            RankedAdmissionQueue queue = RankedAdmissionQueue.create(RANKS, 2);
            queue.offer(item(1, URGENT, 0, 9_000), ms(0));
            queue.offer(item(2, URGENT, 0, 8_000), ms(0));
            assertThat(queue.offer(item(3, URGENT, 50, 9_000), ms(50)).getLeft().kind())
                    .isEqualTo(ErrorKind.QUEUE_FULL);
            List<RejectedItem> displaced =
                    queue.offer(item(4, URGENT, 500, 9_000), ms(500)).get();
            assertThat(displaced).extracting(refusal -> refusal.item().id()).containsExactly(2L);
            assertThat(displaced.get(0).failure().kind()).isEqualTo(ErrorKind.QUEUE_FULL);
            assertThat(queue.poll(StartRule.ANY, ms(500)).orElseThrow().id()).isEqualTo(4);
        }

        /** Guards against a start after the deadline, whose answer nobody would read. */
        @Test
        void workPastItsDeadlineNeverStarts() {
            RankedAdmissionQueue queue = queue();
            queue.offer(item(1, URGENT, 0, 200), ms(0));
            queue.offer(item(2, URGENT, 0, 300), ms(0));
            assertThat(queue.nextDeadline()).contains(ms(200));
            assertThat(queue.poll(StartRule.ANY, ms(200)).orElseThrow().id()).isEqualTo(2);
            assertThat(queue.poll(StartRule.ANY, ms(200))).isEmpty();
            assertThat(queue.removeExpired(ms(200)))
                    .extracting(refusal -> refusal.failure().kind())
                    .containsExactly(ErrorKind.DEADLINE_UNREACHABLE);
            assertThat(queue.size()).isZero();
        }
    }

    @Nested
    class EarlyRefusal {

        private final RankSettings patient = new RankSettings(BULK.name(), ms(30_000), 1, 0.1);

        private RankedAdmissionQueue busyQueue(long deadline) {
            RankedAdmissionQueue queue = RankedAdmissionQueue.create(List.of(URGENT, patient), 500);
            for (int id = 0; id < 140; id++) {
                queue.offer(item(id, patient, 0, deadline), ms(0));
            }
            for (int step = 1; step <= 40; step++) {
                queue.poll(StartRule.ANY, ms(step * 10));
            }
            return queue;
        }

        /** Guards against work that waits in vain, and against the refusal of work that would be served in time. */
        @Test
        void refusesOnlyWhatCannotBeServedBeforeItsDeadline() {
            RankedAdmissionQueue queue = busyQueue(1_100);
            Either<Failure, List<RejectedItem>> hopeless = queue.offer(item(900, patient, 400, 1_200), ms(400));
            assertThat(hopeless.getLeft().kind()).isEqualTo(ErrorKind.DEADLINE_UNREACHABLE);
            assertThat(queue.cancel(900)).isFalse();
            assertThat(queue.offer(item(901, patient, 400, 2_400), ms(400)).isRight())
                    .isTrue();
            assertThat(queue.offer(item(902, URGENT, 400, 500), ms(400)).isRight())
                    .isTrue();
        }

        /** Guards against a pause, as during a failover, that passes for slow service and refuses everything after. */
        @Test
        void aPauseDoesNotRefuseWorkAfterwards() {
            RankedAdmissionQueue queue = busyQueue(8_000);
            queue.poll(StartRule.ANY, ms(6_000));
            assertThat(queue.offer(item(901, patient, 6_000, 9_000), ms(6_000)).isRight())
                    .isTrue();
        }

        /** Guards against a pace learned under an urgent flood that outlives the flood. */
        @Test
        void recoversAfterAnUrgentFlood() {
            RankedAdmissionQueue queue = queue();
            OverloadSimulation flood = new OverloadSimulation(queue, 10)
                    .arrivalEvery(URGENT, 1)
                    .arrivalEvery(BULK, 20)
                    .run(MINUTE);
            assertThat(flood.refused()).isPositive();
            queue.rejectAll(Failure.of(ErrorKind.DRAINING, "The flood ends."));
            OverloadSimulation calm =
                    new OverloadSimulation(queue, 10).arrivalEvery(BULK, 20).run(MINUTE);
            assertThat(calm.refused()).isZero();
        }
    }

    @Nested
    class Starting {

        /** Guards against writes without a primary that hold up reads, in either queue. */
        @Test
        void blockedWritesDoNotHoldUpReads() {
            for (AdmissionQueue queue : List.of(queue(), FifoAdmissionQueue.create(10))) {
                queue.offer(WorkItem.of(1, URGENT, Access.WRITE, 1, ms(0), ms(1_000)), ms(0));
                queue.offer(item(2, BULK, 0, 1_000), ms(0));
                StartRule noPrimary = candidate -> candidate.access() == Access.READ;
                assertThat(queue.poll(noPrimary, ms(1)).orElseThrow().id()).isEqualTo(2);
                assertThat(queue.poll(noPrimary, ms(1))).isEmpty();
                assertThat(queue.poll(StartRule.ANY, ms(1)).orElseThrow().id()).isEqualTo(1);
            }
        }

        /** Guards against a read that must wait for its session's write and holds up the reads behind it. */
        @Test
        void aReadThatMustWaitDoesNotHoldUpOthers() {
            RankedAdmissionQueue queue = queue();
            queue.offer(item(1, URGENT, 0, 5_000), ms(0));
            queue.offer(item(2, URGENT, 50, 5_000), ms(50));
            queue.offer(item(3, URGENT, 60, 5_000), ms(60));
            StartRule onlyThird = candidate -> candidate.id() == 3;
            assertThat(queue.poll(onlyThird, ms(60)).orElseThrow().id()).isEqualTo(3);
            StartRule onlyFirst = candidate -> candidate.id() == 1;
            assertThat(queue.poll(onlyFirst, ms(120)).orElseThrow().id())
                    .as("late work behind deferred work")
                    .isEqualTo(1);
        }
    }
}
