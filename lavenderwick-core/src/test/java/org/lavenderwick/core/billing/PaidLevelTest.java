package org.lavenderwick.core.billing;

import java.time.Instant;
import java.time.YearMonth;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PaidLevelTest {

    private static final Instant LAST_SECOND = Instant.parse("2026-02-28T23:59:59Z");
    private static final YearMonth FEBRUARY = YearMonth.of(2026, 2);

    private static PaidLevel random(Random random) {
        return new PaidLevel(FEBRUARY.plusMonths(random.nextInt(3)), random.nextInt(9), random.nextInt(9));
    }

    /** Guards against owners that merge their levels in different orders and end with different ones. */
    @Property(tries = 500, seed = "8")
    void theOrderOfMergesDoesNotMatter(@ForAll long seed) {
        Random random = new Random(seed);
        PaidLevel one = random(random);
        PaidLevel two = random(random);
        PaidLevel three = random(random);
        assertThat(one.merge(two)).isEqualTo(two.merge(one));
        assertThat(one.merge(two).merge(three)).isEqualTo(one.merge(two.merge(three)));
        assertThat(one.merge(one)).isEqualTo(one);
    }

    @Nested
    class Months {

        /** Guards against a level of the last month that makes usage of the new one look paid for. */
        @Test
        void aNewMonthInUtcStartsAtZero() {
            PaidLevel paid = new PaidLevel(FEBRUARY, 7, 900);
            assertThat(paid.at(LAST_SECOND)).isEqualTo(paid);
            assertThat(paid.at(LAST_SECOND.plusSeconds(1))).isEqualTo(new PaidLevel(YearMonth.of(2026, 3), 0, 0));
        }

        /** Guards against a late report of the last month that lowers or raises the new level. */
        @Test
        void usageOfAnEarlierMonthChangesNothing() {
            PaidLevel march = new PaidLevel(YearMonth.of(2026, 3), 2, 10);
            assertThat(march.raisedBy(new MinuteUsage(LAST_SECOND, 50, 5_000))).isEqualTo(march);
        }
    }

    @Nested
    class Meter {

        private final Instant start = Instant.parse("2026-02-28T23:58:10Z");

        /** Guards against peaks and statements that count towards the wrong minute, and connections that stay open. */
        @Test
        void countsPerCalendarMinute() {
            MinuteMeter meter = MinuteMeter.startingAt(start);
            meter.recordConnections(5, start);
            meter.recordConnections(3, start.plusSeconds(1));
            meter.recordStatements(4, start.plusSeconds(49));
            meter.recordStatements(6, start.plusSeconds(50));
            assertThat(meter.takeFinished(start.plusSeconds(51)))
                    .containsExactly(new MinuteUsage(MinuteMeter.minuteOf(start), 5, 4));
            assertThat(meter.current(start.plusSeconds(51)))
                    .isEqualTo(new MinuteUsage(Instant.parse("2026-02-28T23:59:00Z"), 3, 6));
            assertThat(meter.takeFinished(start.plusSeconds(52))).isEmpty();
        }

        /** Guards against connections that are open without work and so missing from the new month. */
        @Test
        void openConnectionsCountInQuietMinutesOfANewMonth() {
            MinuteMeter meter = MinuteMeter.startingAt(start);
            meter.recordConnections(3, start);
            PaidLevel paid = PaidLevel.startOf(start);
            for (MinuteUsage usage : meter.takeFinished(start.plusSeconds(600))) {
                paid = paid.raisedBy(usage);
            }
            assertThat(paid).isEqualTo(new PaidLevel(YearMonth.of(2026, 3), 3, 0));
        }

        /** Guards against a wall clock set back, which must not reset the counts. */
        @Test
        void aClockSetBackKeepsTheMinute() {
            MinuteMeter meter = MinuteMeter.startingAt(start);
            meter.recordStatements(4, start);
            meter.recordStatements(1, start.minusSeconds(300));
            assertThat(meter.current(start).statements()).isEqualTo(5);
            assertThat(meter.takeFinished(start)).isEmpty();
        }
    }
}
