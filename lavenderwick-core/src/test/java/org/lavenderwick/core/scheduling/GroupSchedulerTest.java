package org.lavenderwick.core.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.scheduling.AdmissionDecision.Reason;
import org.lavenderwick.core.scheduling.AdmissionDecision.Rejected;

import static org.assertj.core.api.Assertions.assertThat;

class GroupSchedulerTest {

    private static final EndpointName PRIMARY = EndpointName.of("p");
    private static final EndpointName REPLICA = EndpointName.of("r");

    private final Load load = new Load(1);
    private Optional<Duration> replicaReadyAt = Optional.empty();
    private final GroupScheduler scheduler = GroupScheduler.create((operation, now) -> replicaReadyAt, new Random(1));
    private long nextId;

    @BeforeEach
    void oneSlotOfThePrimary() {
        scheduler.updateSlots(List.of(new EndpointSlots(PRIMARY, true, 1), new EndpointSlots(REPLICA, false, 1)));
        for (int rank = 0; rank < 3; rank++) {
            Operation first = operation(rank, "a", 0, true);
            scheduler.onFinished(first, Load.ms(new double[] {11, 33, 55}[rank]));
        }
    }

    private Operation operation(int rank, String account, double atMs, boolean primaryOnly) {
        return load.operation(nextId++, rank, "d" + rank, account, "z", atMs, primaryOnly);
    }

    private Operation arrive(int rank, String account, double atMs) {
        Operation operation = operation(rank, account, atMs, true);
        scheduler.enqueue(operation, Load.ms(atMs), Load.ms(atMs));
        return operation;
    }

    private Optional<Operation> next(double atMs) {
        return next(atMs, true, true);
    }

    private Optional<Operation> next(double atMs, boolean primary, boolean contended) {
        return scheduler.dispatch(
                new FreeSlot(primary ? PRIMARY : REPLICA, primary, 2, contended, operation -> true), Load.ms(atMs));
    }

    @Nested
    class Order {

        @Test
        void urgentRankIsFirstWhileItCanBeInTime() {
            arrive(2, "a", 0);
            arrive(1, "a", 1);
            Operation urgent = arrive(0, "a", 2);
            assertThat(next(3)).contains(urgent);
        }

        @Test
        void lateOperationIsBehindOneOfTheSameRankThatCanBeInTime() {
            Operation late = arrive(1, "a", 0);
            Operation inTime = arrive(1, "a", 300);
            assertThat(next(450)).contains(inTime);
            assertThat(next(451)).contains(late);
        }

        @Test
        void lateOperationIsByItsValuePerSlotTime() {
            Operation late = arrive(0, "a", 0);
            arrive(1, "a", 200);
            assertThat(next(300)).contains(late);
        }

        @Test
        void longQueueOfOneAccountDoesNotDelayTheOthers() {
            for (int count = 0; count < 100; count++) {
                arrive(1, "hot", 0);
            }
            next(1);
            Operation other = arrive(1, "cold", 2);
            assertThat(next(3)).contains(other);
        }

        @Test
        void connectionIsChargedToTheAccountThatNeedsIt() {
            List<Operation> both = new ArrayList<>();
            for (int count = 0; count < 20; count++) {
                both.add(arrive(1, "a", 0));
                both.add(arrive(1, "b", 0));
            }
            scheduler.charge(both.get(0), Load.ms(12));
            assertThat(next(1)).contains(both.get(1));
        }

        @Test
        void everyRankKeepsATwentieth() {
            for (int count = 0; count < 2000; count++) {
                arrive(0, "a", 0);
            }
            arrive(2, "a", 0);
            int untilServed = 0;
            while (next(1).get().rank() == 0) {
                untilServed++;
            }
            assertThat(untilServed * 11 * 0.05).isBetween(50.0, 60.0);
        }

        @Test
        void cancelledOperationIsNotGivenASlot() {
            scheduler.cancel(arrive(1, "a", 0));
            assertThat(next(1)).isEmpty();
            assertThat(scheduler.waitingCount()).isZero();
        }

        @Test
        void operationThatThisEndpointMayNotRunDoesNotBlockOthers() {
            Operation other = arrive(1, "a", 0);
            Operation second = arrive(1, "a", 1);
            FreeSlot slot = new FreeSlot(PRIMARY, true, 2, true, operation -> operation != other);
            assertThat(scheduler.dispatch(slot, Load.ms(2))).contains(second);
            assertThat(next(3)).contains(other);
        }
    }

    @Nested
    class Replicas {

        @Test
        void readWaitsForAReplicaThatCatchesUpWithinTheTarget() {
            replicaReadyAt = Optional.of(Load.ms(100));
            Operation read = operation(1, "a", 0, false);
            scheduler.enqueue(read, Load.ms(0), Load.ms(0));
            assertThat(next(50, true, true)).isEmpty();
            assertThat(next(101, false, true)).contains(read);
        }

        @Test
        void readTakesASlotOfThePrimaryThatNobodyElseNeeds() {
            replicaReadyAt = Optional.of(Load.ms(100));
            Operation read = operation(1, "a", 0, false);
            scheduler.enqueue(read, Load.ms(0), Load.ms(0));
            assertThat(next(1, true, false)).contains(read);
        }

        @Test
        void readWhoseReplicaComesTooLateUsesThePrimary() {
            replicaReadyAt = Optional.of(Load.ms(800));
            Operation read = operation(1, "a", 0, false);
            scheduler.enqueue(read, Load.ms(0), Load.ms(0));
            assertThat(next(1, true, true)).contains(read);
        }
    }

    @Nested
    class Admission {

        private AdmissionDecision decide(int rank, boolean inTransaction) {
            Operation plain = operation(rank, "a", 0, true);
            return scheduler.arrive(
                    new Operation(
                            plain.id(),
                            rank,
                            plain.database(),
                            plain.account(),
                            plain.domain(),
                            plain.arrivedAt(),
                            plain.target(),
                            plain.deadline(),
                            true,
                            inTransaction),
                    Load.ms(0));
        }

        private void fill(int rank, int count) {
            for (int each = 0; each < count; each++) {
                arrive(rank, "a", 0);
            }
        }

        @Test
        void rejectsWhatCannotFinishBeforeItsDeadlineUnlessItsTransactionIsOpen() {
            fill(1, 50);
            Rejected rejected = (Rejected) decide(1, false);
            assertThat(rejected.reason()).isEqualTo(Reason.DEADLINE);
            assertThat(rejected.retryAfter()).isGreaterThan(Load.ms(50 * 33 - 401));
            assertThat(decide(1, true)).isEqualTo(new AdmissionDecision.Admitted());
        }

        @Test
        void keepsWhatIsOnlyLateUnlessItDisplacesWhatCanBeInTime() {
            fill(0, 30);
            assertThat(decide(0, false)).isEqualTo(new AdmissionDecision.Admitted());
            fill(1, 1);
            assertThat(decide(0, false))
                    .isInstanceOfSatisfying(
                            Rejected.class,
                            rejected -> assertThat(rejected.reason()).isEqualTo(Reason.DISPLACES));
        }

        @Test
        void rejectsNothingWhileSlotsAreFree() {
            assertThat(decide(2, false)).isEqualTo(new AdmissionDecision.Admitted());
        }
    }
}
