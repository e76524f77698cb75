package org.lavenderwick.daemon.group;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lavenderwick.adapters.endpoint.TransactionStep;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.RankName;
import org.lavenderwick.core.model.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class PendingWorkTest {
    private static PendingWork pending(boolean write) {
        return new PendingWork(new WorkRequest(
                "id",
                ServiceName.of("s"),
                GroupName.of("g"),
                Optional.of(RankName.of("r")),
                TransactionStep.SINGLE,
                write,
                new byte[] {'[', '{', '}', ']'},
                Duration.ofSeconds(10),
                Optional.empty(),
                write ? Optional.of("key") : Optional.empty(),
                Optional.empty(),
                Optional.empty()));
    }

    private static ErrorKind kind(PendingWork pending) {
        return pending.result().join().getLeft().failure().kind();
    }

    @Test
    void aWriteThatMayHaveRunIsNeverReportedAsNotRun() {
        PendingWork pending = pending(true);
        pending.recordMissingResponse();
        pending.fail(WorkFailure.of(ErrorKind.QUEUE_FULL, "The queue is full."));
        assertThat(kind(pending)).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
    }

    @Test
    void aReadWithoutAResponseIsReportedAsNotRun() {
        PendingWork pending = pending(false);
        pending.recordMissingResponse();
        pending.fail(WorkFailure.of(ErrorKind.QUEUE_FULL, "The queue is full."));
        assertThat(kind(pending)).isEqualTo(ErrorKind.QUEUE_FULL);
    }

    @Test
    void workRejectedAtItsDeadlineFailsWithItsWaitReason() {
        PendingWork pending = pending(true);
        pending.setWaitReason(Failure.of(ErrorKind.NO_PRIMARY, "No primary."));
        pending.reject(Failure.of(ErrorKind.DEADLINE_UNREACHABLE, "Too late."));
        assertThat(kind(pending)).isEqualTo(ErrorKind.NO_PRIMARY);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"[]|1", "[{}]|1", "[{\"a\":[1,2]},{},{}]|3", "{}|1", "nonsense|1"})
    void statementCountIsTheLengthOfTheArrayButAtLeastOne(String json, int count) {
        assertThat(StatementCounter.count(json.getBytes(StandardCharsets.UTF_8)))
                .isEqualTo(count);
    }
}
