package org.lavenderwick.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import io.vavr.control.Either;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.lavenderwick.core.configuration.RankSettings;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Execution;
import org.lavenderwick.core.error.Failure;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lavenderwick.core.admission.OverloadSimulation.RANKS;

class AdmissionPropertyTest {

    /** No item may be lost, started twice, or rejected after it started. */
    @Property(tries = 300, seed = "4711")
    void everyItemLeavesExactlyOnce(@ForAll long seed) {
        Random random = new Random(seed);
        AdmissionQueue queue =
                random.nextInt(4) == 0 ? FifoAdmissionQueue.create(8) : RankedAdmissionQueue.create(RANKS, 4);
        Set<Long> waiting = new HashSet<>();
        Duration now = Duration.ZERO;
        for (long id = 0; id < 300; id++) {
            now = now.plusMillis(random.nextInt(20));
            List<RejectedItem> rejectedItems = new ArrayList<>(queue.removeExpired(now));
            Access access = Access.values()[random.nextInt(3)];
            RankSettings rank = RANKS.get(random.nextInt(3));
            Duration deadline = now.plusMillis(random.nextInt(400));
            Either<Failure, List<RejectedItem>> result =
                    queue.offer(WorkItem.of(id, rank, access, 1 + random.nextInt(3), now, deadline), now);
            if (result.isRight()) {
                waiting.add(id);
                rejectedItems.addAll(result.get());
            } else {
                assertThat(result.getLeft().kind().execution()).isEqualTo(Execution.NOT_RUN);
            }
            for (RejectedItem rejected : rejectedItems) {
                assertThat(waiting.remove(rejected.item().id())).isTrue();
                assertThat(rejected.failure().kind().execution()).isEqualTo(Execution.NOT_RUN);
            }
            if (random.nextBoolean()) {
                Optional<WorkItem> taken = queue.poll(candidate -> candidate.access() == access, now);
                taken.ifPresent(item -> assertThat(waiting.remove(item.id())).isTrue());
            }
            long cancelled = Math.max(0, id - random.nextInt(10));
            assertThat(queue.cancel(cancelled)).isEqualTo(waiting.remove(cancelled));
            assertThat(queue.size()).isEqualTo(waiting.size());
        }
        assertThat(queue.rejectAll(Failure.of(ErrorKind.DRAINING, "end"))).hasSameSizeAs(waiting);
        assertThat(queue.nextDeadline()).isEmpty();
    }

    /** Retries must not amplify an overload. */
    @Property(tries = 100, seed = "99")
    void retriesStayWithinTenPercentOfTheRequests(@ForAll long seed, @ForAll @IntRange(max = 50) int initial) {
        Random random = new Random(seed);
        RetryBudget budget = RetryBudget.create(initial);
        int requests = 0;
        int retries = 0;
        for (int count = 0; count < 2_000; count++) {
            if (random.nextBoolean()) {
                budget.recordRequest();
                requests++;
            } else if (budget.tryAcquireRetry()) {
                retries++;
            }
            assertThat(retries).isLessThanOrEqualTo(initial + requests / 10);
        }
        assertThat(retries).isGreaterThanOrEqualTo(requests / 10 - 1);
    }
}
