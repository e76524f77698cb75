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
    class Priorities {

        /** Urgent work must not wait behind an overload of the least urgent rank. */
        @Test
        void urgentWorkPrecedesAnOverloadOfTheLeastUrgentRank() {
            OverloadSimulation ranked = new OverloadSimulation(queue(), 10)
                    .withArrivalEvery(BULK, 2)
                    .withArrivalEvery(URGENT, 50)
                    .run(MINUTE);
            OverloadSimulation fifo = new OverloadSimulation(FifoAdmissionQueue.create(1500), 10)
                    .withArrivalEvery(BULK, 2)
                    .withArrivalEvery(URGENT, 50)
                    .run(MINUTE);
            assertThat(ranked.served(URGENT)).isBetween(1198, 1200);
            assertThat(ranked.longestWait(URGENT)).isLessThanOrEqualTo(ms(20));
            assertThat(fifo.longestWait(URGENT)).isGreaterThan(ms(1000));
        }

        /** No rank may starve, and urgent work may lose no more than the floor shares of the other ranks. */
        @ParameterizedTest
        @ValueSource(ints = {0, 1, 2})
        void everyRankKeepsItsFloorShareWhenAnyRankIsOverloaded(int overloaded) {
            OverloadSimulation simulation = new OverloadSimulation(queue(), 10);
            RANKS.forEach(rank -> simulation.withArrivalEvery(rank, 15));
            simulation.withArrivalEvery(RANKS.get(overloaded), 1).run(MINUTE);
            for (RankSettings rank : RANKS) {
                assertThat((double) simulation.served(rank) / simulation.served())
                        .as("share of rank %s", rank.name())
                        .isGreaterThanOrEqualTo(rank.floorShare() * 0.98);
            }
            assertThat((double) simulation.served(URGENT) / simulation.served()).isGreaterThan(0.65);
        }

        /** Floor shares that sum to more than 1 must not starve the urgent rank. */
        @Test
        void floorSharesThatSumToMoreThanOneAreScaledDown() {
            List<RankSettings> oversubscribed = List.of(
                    new RankSettings(URGENT.name(), ms(100), 1, 0.2), new RankSettings(BULK.name(), ms(100), 1, 1));
            OverloadSimulation simulation = new OverloadSimulation(RankedAdmissionQueue.create(oversubscribed, 500), 10)
                    .withArrivalEvery(URGENT, 1)
                    .withArrivalEvery(BULK, 1)
                    .run(MINUTE);
            assertThat((double) simulation.served(URGENT) / simulation.served()).isBetween(0.16, 0.18);
        }

        /** A rank must not keep its credit while it has no work, as it would delay urgent work with it later. */
        @Test
        void aRankWithoutWorkKeepsNoCredit() {
            RankedAdmissionQueue queue = queue();
            queue.offer(item(0, BULK, 0, 10_000), ms(0));
            for (int id = 1; id <= 30; id++) {
                queue.offer(item(id, URGENT, 0, 10_000), ms(0));
                queue.offer(item(1000 + id, BULK, 0, 10_000), ms(0));
            }
            pollUrgent(queue, 9);
            for (int id = 0; id <= 30; id++) {
                queue.cancel(id == 0 ? 0 : 1000 + id);
            }
            queue.offer(item(2000, BULK, 0, 10_000), ms(0));
            pollUrgent(queue, 9);
        }

        private void pollUrgent(RankedAdmissionQueue queue, int count) {
            for (int polled = 0; polled < count; polled++) {
                assertThat(queue.poll(StartRule.ANY, ms(0)).orElseThrow().rank())
                        .isEqualTo(URGENT.name());
            }
        }
    }

    @Nested
    class LateItems {

        /** An overloaded rank must not spend its service on items that are already late. */
        @ParameterizedTest
        @ValueSource(ints = {1, 5})
        void overloadedRankServesItemsThatMeetTheirTarget(int arrivalIntervalMillis) {
            OverloadSimulation ranked = new OverloadSimulation(queue(), 10)
                    .withArrivalEvery(BULK, arrivalIntervalMillis)
                    .run(MINUTE);
            OverloadSimulation fifo = new OverloadSimulation(FifoAdmissionQueue.create(500), 10)
                    .withArrivalEvery(BULK, arrivalIntervalMillis)
                    .run(MINUTE);
            assertThat((double) ranked.servedOnTime() / ranked.served()).isGreaterThan(0.9);
            assertThat((double) fifo.servedOnTime() / fifo.served()).isLessThan(0.1);
        }

        /**
         * Items that complete just before they are due become late while the response travels to the client, so an
         * overloaded rank must start most items in the first half of their target.
         */
        @ParameterizedTest
        @ValueSource(ints = {1, 5})
        void overloadedRankStartsItemsInTheFirstHalfOfTheirTarget(int arrivalIntervalMillis) {
            OverloadSimulation ranked = new OverloadSimulation(queue(), 10)
                    .withArrivalEvery(BULK, arrivalIntervalMillis)
                    .run(MINUTE);
            long early = ranked.servedWithin(BULK, BULK.target().dividedBy(2));
            assertThat((double) early / ranked.served()).isGreaterThan(0.9);
        }

        /** A queue that is full of late items must not reject items that are still on time. */
        @Test
        void itemOnTimeDisplacesALateItem() {
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

        /** No item may start after its deadline, because its client no longer waits for the response. */
        @Test
        void itemPastItsDeadlineNeverStarts() {
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
    class EarlyRejection {

        private final RankSettings patientBulk = new RankSettings(BULK.name(), ms(30_000), 1, 0.1);

        private RankedAdmissionQueue busyQueue(long deadline) {
            RankedAdmissionQueue queue = RankedAdmissionQueue.create(List.of(URGENT, patientBulk), 500);
            for (int id = 0; id < 140; id++) {
                queue.offer(item(id, patientBulk, 0, deadline), ms(0));
            }
            for (int step = 1; step <= 40; step++) {
                queue.poll(StartRule.ANY, ms(step * 10));
            }
            return queue;
        }

        /** An item must be rejected on arrival if and only if it would not be served before its deadline. */
        @Test
        void rejectsOnlyItemsThatCannotBeServedBeforeTheirDeadline() {
            RankedAdmissionQueue queue = busyQueue(1_100);
            Either<Failure, List<RejectedItem>> unreachable = queue.offer(item(900, patientBulk, 400, 1_200), ms(400));
            assertThat(unreachable.getLeft().kind()).isEqualTo(ErrorKind.DEADLINE_UNREACHABLE);
            assertThat(queue.cancel(900)).isFalse();
            assertThat(queue.offer(item(901, patientBulk, 400, 2_400), ms(400)).isRight())
                    .isTrue();
            assertThat(queue.offer(item(902, URGENT, 400, 500), ms(400)).isRight())
                    .isTrue();
        }

        /** A pause, as during a failover, must not count as slow service and cause later items to be rejected. */
        @Test
        void pauseDoesNotCauseLaterRejections() {
            RankedAdmissionQueue queue = busyQueue(8_000);
            queue.poll(StartRule.ANY, ms(6_000));
            assertThat(queue.offer(item(901, patientBulk, 6_000, 9_000), ms(6_000))
                            .isRight())
                    .isTrue();
        }

        /** The service rate measured during an overload of the urgent rank must not cause rejections afterwards. */
        @Test
        void acceptsItemsAfterAnOverloadOfTheUrgentRank() {
            RankedAdmissionQueue queue = queue();
            OverloadSimulation overload = new OverloadSimulation(queue, 10)
                    .withArrivalEvery(URGENT, 1)
                    .withArrivalEvery(BULK, 20)
                    .run(MINUTE);
            assertThat(overload.rejected()).isPositive();
            queue.rejectAll(Failure.of(ErrorKind.DRAINING, "The overload has ended."));
            OverloadSimulation afterwards =
                    new OverloadSimulation(queue, 10).withArrivalEvery(BULK, 20).run(MINUTE);
            assertThat(afterwards.rejected()).isZero();
        }
    }

    @Nested
    class StartRules {

        /** Writes that cannot start while there is no primary must not block reads, in either queue. */
        @Test
        void blockedWritesDoNotBlockReads() {
            for (AdmissionQueue queue : List.of(queue(), FifoAdmissionQueue.create(10))) {
                queue.offer(WorkItem.of(1, URGENT, Access.WRITE, 1, ms(0), ms(1_000)), ms(0));
                queue.offer(item(2, BULK, 0, 1_000), ms(0));
                StartRule noPrimary = candidate -> candidate.access() == Access.READ;
                assertThat(queue.poll(noPrimary, ms(1)).orElseThrow().id()).isEqualTo(2);
                assertThat(queue.poll(noPrimary, ms(1))).isEmpty();
                assertThat(queue.poll(StartRule.ANY, ms(1)).orElseThrow().id()).isEqualTo(1);
            }
        }

        /** A read that must wait until a replica has its session's write must not block the reads behind it. */
        @Test
        void blockedReadDoesNotBlockOtherReads() {
            RankedAdmissionQueue queue = queue();
            queue.offer(item(1, URGENT, 0, 5_000), ms(0));
            queue.offer(item(2, URGENT, 50, 5_000), ms(50));
            queue.offer(item(3, URGENT, 60, 5_000), ms(60));
            StartRule onlyThird = candidate -> candidate.id() == 3;
            assertThat(queue.poll(onlyThird, ms(60)).orElseThrow().id()).isEqualTo(3);
            StartRule onlyFirst = candidate -> candidate.id() == 1;
            assertThat(queue.poll(onlyFirst, ms(120)).orElseThrow().id())
                    .as("late item behind an item that may not start")
                    .isEqualTo(1);
        }
    }
}
