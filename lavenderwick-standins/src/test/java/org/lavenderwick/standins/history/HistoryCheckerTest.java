package org.lavenderwick.standins.history;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;
import org.lavenderwick.standins.history.Violation.Kind;

import static org.assertj.core.api.Assertions.assertThat;

/** Each test breaks one guarantee by hand and guards against a checker that overlooks it. */
class HistoryCheckerTest {

    private static final GroupName GROUP = GroupName.of("lids");

    private final List<CallerOperation> operations = new ArrayList<>();
    private final List<AppliedWrite> writes = new ArrayList<>();
    private final List<TermOpening> openings = new ArrayList<>();

    @Test
    void cleanHistoryHasNoViolation() {
        committed("a", 1, 1);
        write("a", OperationResult.ACKNOWLEDGED, 1, 2);
        read("a", 3);

        assertThat(kinds()).isEmpty();
    }

    @Nested
    class Answers {

        @Test
        void acknowledgedWriteThatNeverCommitted() {
            write("a", OperationResult.ACKNOWLEDGED, 1, 2);

            assertThat(kinds()).containsExactly(Kind.WRONG_ANSWER);
        }

        @Test
        void refusedWriteThatCommitted() {
            committed("a", 1, 1);
            write("a", OperationResult.NOT_RUN, 1, 2);

            assertThat(kinds()).containsExactly(Kind.FALSE_NOT_RUN);
        }

        @Test
        void refusedRepeatOfAWriteWithUnknownOutcomeIsTrue() {
            committed("a", 1, 1);
            write("a", OperationResult.UNKNOWN, 1, 2);
            write("a", OperationResult.NOT_RUN, 3, 4);

            assertThat(kinds()).isEmpty();
        }

        @Test
        void requestThatRanTwice() {
            committed("a", 1, 1);
            committed("a", 1, 2);

            assertThat(kinds()).containsExactly(Kind.DOUBLE_RUN);
        }

        @Test
        void rerunAfterTheFirstRunWasDroppedCountsOnce() {
            committed("a", 1, 5);
            opened(2, 4, false, 3);
            committed("a", 2, 5);

            assertThat(kinds()).isEmpty();
        }
    }

    @Nested
    class Sessions {

        @Test
        void readThatMissesTheOwnWrite() {
            committed("a", 1, 1);
            committed("b", 1, 2);
            write("a", OperationResult.ACKNOWLEDGED, 1, 2);
            write("b", OperationResult.ACKNOWLEDGED, 3, 4);
            read("a", 5);

            assertThat(kinds()).containsExactly(Kind.STALE_SESSION_READ);
        }

        @Test
        void droppedWriteWithoutNotice() {
            committed("a", 1, 5);
            write("a", OperationResult.ACKNOWLEDGED, 1, 2);
            opened(2, 4, false, 3);
            read(null, 5);

            assertThat(kinds()).containsExactly(Kind.STALE_SESSION_READ);
        }

        @Test
        void droppedWriteWithNotice() {
            committed("a", 1, 5);
            write("a", OperationResult.ACKNOWLEDGED, 1, 2);
            opened(2, 4, false, 3);
            operations.add(operation(false, null, OperationResult.SESSION_WRITE_LOST, 4, 5));
            read(null, 6);

            assertThat(kinds()).isEmpty();
        }
    }

    @Nested
    class Terms {

        @Test
        void acknowledgementAfterTheNextTermOpened() {
            committed("a", 1, 1);
            opened(2, 1, false, 5);
            write("a", OperationResult.ACKNOWLEDGED, 1, 6);

            assertThat(kinds()).containsExactly(Kind.LATE_ACKNOWLEDGEMENT);
        }

        /** Guards against taking the record of a key for an acknowledgement by the replaced primary. */
        @Test
        void repeatThatALaterPrimaryAnswersFromItsRecord() {
            committed("a", 1, 1);
            opened(2, 1, false, 5);
            operations.add(answeredBy("lids-2", "a", 6));

            assertThat(kinds()).isEmpty();
        }

        @Test
        void repeatThatTheReplacedPrimaryAnswers() {
            committed("a", 1, 1);
            opened(2, 1, false, 5);
            operations.add(answeredBy("lids-1", "a", 6));

            assertThat(kinds()).containsExactly(Kind.LATE_ACKNOWLEDGEMENT);
        }

        @Test
        void repeatThatALaterPrimaryAnswersThoughItDroppedTheWrite() {
            committed("a", 1, 2);
            opened(2, 1, false, 5);
            operations.add(answeredBy("lids-2", "a", 6));

            assertThat(kinds()).containsExactly(Kind.LATE_ACKNOWLEDGEMENT);
        }

        @Test
        void switchoverThatDropsAnAcknowledgedWrite() {
            committed("a", 1, 2);
            write("a", OperationResult.ACKNOWLEDGED, 1, 2);
            opened(2, 1, true, 5);

            assertThat(kinds()).containsExactly(Kind.LOST_IN_SWITCHOVER);
        }
    }

    private List<Kind> kinds() {
        return HistoryChecker.check(new History(operations, writes, openings)).stream()
                .map(Violation::kind)
                .toList();
    }

    private void committed(String value, long term, long position) {
        writes.add(new AppliedWrite(
                GROUP, EndpointName.of("lids-1"), LogPoint.of(term, position), "key", value, Duration.ZERO));
    }

    private void opened(long term, long startPosition, boolean planned, long second) {
        openings.add(new TermOpening(GROUP, Term.of(term), startPosition, planned, Duration.ofSeconds(second)));
    }

    private void write(String value, OperationResult result, long from, long until) {
        operations.add(operation(true, value, result, from, until));
    }

    private static CallerOperation answeredBy(String endpoint, String value, long second) {
        return new CallerOperation(
                "session",
                GROUP,
                true,
                "key",
                Optional.of(value),
                OperationResult.ACKNOWLEDGED,
                Duration.ofSeconds(second),
                Duration.ofSeconds(second),
                Optional.of(EndpointName.of(endpoint)));
    }

    private void read(String value, long second) {
        operations.add(operation(false, value, OperationResult.ACKNOWLEDGED, second, second));
    }

    private CallerOperation operation(boolean write, String value, OperationResult result, long from, long until) {
        return new CallerOperation(
                "session",
                GROUP,
                write,
                "key",
                Optional.ofNullable(value),
                result,
                Duration.ofSeconds(from),
                Duration.ofSeconds(until));
    }
}
