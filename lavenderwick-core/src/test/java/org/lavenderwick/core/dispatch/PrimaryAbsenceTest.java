package org.lavenderwick.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PrimaryAbsenceTest {

    private static final Duration TARGET = at(400);

    private final PrimaryAbsence absence = PrimaryAbsence.create(new Random(1));

    private static Duration at(long millis) {
        return Duration.ofMillis(millis);
    }

    private boolean rejects(long arrivedAt, long now) {
        return absence.shouldReject(at(arrivedAt), TARGET, at(arrivedAt + 1000), at(now));
    }

    @Nested
    class LostPrimary {

        @Test
        void statementIsRejectedEarlyIfTheReplacementTakesTooLong() {
            absence.onPresent();
            absence.onMissing(at(0));
            assertThat(rejects(0, 79)).isFalse();
            assertThat(rejects(0, 81)).isTrue();
        }

        @Test
        void statementWaitsIfTheReplacementIsExpectedInTime() {
            absence.onPresent();
            absence.onMissing(at(0));
            assertThat(rejects(2500, 2800)).isFalse();
        }

        @Test
        void statementIsRejectedIfTheReplacementIsOverdue() {
            absence.onPresent();
            absence.onMissing(at(0));
            assertThat(rejects(5000, 5081)).isTrue();
        }

        @Test
        void callersComeBackAfterTheReplacement() {
            PrimaryAbsence earliest = PrimaryAbsence.create(() -> 0);
            earliest.onPresent();
            earliest.onMissing(at(0));
            assertThat(earliest.failure(at(1000)).detail()).endsWith("retry after 2000 ms");
            assertThat(earliest.failure(at(9000)).detail()).endsWith("retry after 200 ms");
        }

        @Test
        void callersThatAreRejectedTogetherComeBackSpreadOverAQuarterOfTheDelay() {
            absence.onPresent();
            absence.onMissing(at(0));
            List<Duration> delays = new ArrayList<>();
            for (int caller = 0; caller < 100; caller++) {
                delays.add(absence.retryDelay(at(1000)));
            }
            assertThat(delays).allMatch(delay -> delay.compareTo(at(2000)) >= 0 && delay.compareTo(at(2500)) <= 0);
            for (int part = 0; part < 5; part++) {
                Duration from = at(2000 + part * 100);
                assertThat(delays.stream()
                                .filter(delay ->
                                        delay.compareTo(from) >= 0 && delay.compareTo(from.plusMillis(100)) < 0)
                                .count())
                        .as("callers that return in %s", from)
                        .isBetween(10L, 30L);
            }
        }
    }

    /**
     * Replays the return of everybody after a loss of power: statements of 400 ms arrive each 10 ms from the start of a
     * daemon on, and the first evidence comes after 250 ms. With the time of a replacement as the expectation, those of
     * the first 170 ms were rejected.
     */
    @Nested
    class ReturnOfEverybody {

        private int rejectedUntilFirstEvidence() {
            int rejected = 0;
            for (int arrival = 0; arrival < 250; arrival += 10) {
                int arrivedAt = arrival;
                boolean anyTick = false;
                for (int tick = arrivedAt; tick < 250; tick += 20) {
                    absence.onMissing(at(tick));
                    anyTick |= rejects(arrivedAt, tick);
                }
                rejected += anyTick ? 1 : 0;
            }
            return rejected;
        }

        @Test
        void statementsWaitForTheFirstEvidence() {
            absence.onMissing(at(0));
            assertThat(rejectedUntilFirstEvidence()).isZero();
        }

        @Test
        void statementsAreRejectedWhileALostPrimaryIsReplaced() {
            absence.onPresent();
            absence.onMissing(at(0));
            assertThat(rejectedUntilFirstEvidence()).isGreaterThan(10);
        }

        @Test
        void daemonThatGathersNoEvidenceStartsAnewWhenItIsNeeded() {
            absence.onPresent();
            absence.onMissing(at(0));
            absence.onNotNeeded();
            assertThat(absence.isMissing()).isFalse();
            absence.onMissing(at(5000));
            assertThat(rejects(5000, 5200)).isFalse();
            assertThat(rejects(5000, 5700)).isTrue();
        }
    }
}
