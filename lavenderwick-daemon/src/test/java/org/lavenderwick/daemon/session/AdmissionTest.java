package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.lavenderwick.core.catalog.DatabaseRoute;
import org.lavenderwick.core.catalog.ReadConsistency;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.statement.Statement;
import org.lavenderwick.core.statement.StatementKind;

import static org.assertj.core.api.Assertions.assertThat;

class AdmissionTest {

    private final Admission admission = new Admission();
    private final StatementQueue queue = new StatementQueue();

    private static Duration at(long millis) {
        return Duration.ofMillis(millis);
    }

    private static PendingStatement pendingStatement(long arrivedAt, long timeoutMillis) {
        DatabaseRoute route = new DatabaseRoute(
                "orders",
                GroupName.of("db"),
                ReadConsistency.PRIMARY,
                Duration.ZERO,
                at(timeoutMillis),
                at(400),
                0,
                false);
        return new PendingStatement(
                null,
                "q",
                Statement.plain(StatementKind.READ, "READ a"),
                Optional.empty(),
                route,
                PendingStatement.Scope.SINGLE,
                false,
                true,
                at(arrivedAt),
                Optional.empty());
    }

    @Test
    void rejectsOnArrivalIfExpectedWaitExceedsLatencyTarget() {
        admission.recordServiceTime(pendingStatement(0, 1000), at(30));
        for (int count = 0; count < 50; count++) {
            queue.add(pendingStatement(0, 1000));
        }
        assertThat(admission
                        .check(pendingStatement(0, 1000), queue, 3, false)
                        .get()
                        .kind())
                .isEqualTo(ErrorKind.QUEUE_FULL);
        assertThat(admission.check(pendingStatement(0, 1000), queue, 9, false)).isEmpty();
    }
}
