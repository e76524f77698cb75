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

    /** Guards against owners that merge paid levels in different orders and end up with different results. */
    @Property(tries = 500, seed = "8")
    void mergeOrderDoesNotMatter(@ForAll long seed) {
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

        /** Guards against a paid level of the previous month that makes usage in the new month appear paid for. */
        @Test
        void newMonthInUtcStartsAtZero() {
            PaidLevel paid = new PaidLevel(FEBRUARY, 7, 900);
            assertThat(paid.at(LAST_SECOND)).isEqualTo(paid);
            assertThat(paid.at(LAST_SECOND.plusSeconds(1))).isEqualTo(new PaidLevel(YearMonth.of(2026, 3), 0, 0));
        }

        /** Guards against a late report of the previous month that changes the paid level of the new one. */
        @Test
        void usageOfAnEarlierMonthChangesNothing() {
            PaidLevel march = new PaidLevel(YearMonth.of(2026, 3), 2, 10);
            assertThat(march.raisedBy(new MinuteUsage(LAST_SECOND, 50, 5_000))).isEqualTo(march);
        }
    }

    @Nested
    class Meter {

        private final Instant start = Instant.parse("2026-02-28T23:58:10Z");

        /**
         * Guards against attributing connections and statements to the wrong minute, including connections kept open.
         */
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

        /** Guards against idle open connections that are not metered in the new month. */
        @Test
        void openConnectionsCountInIdleMinutesOfANewMonth() {
            MinuteMeter meter = MinuteMeter.startingAt(start);
            meter.recordConnections(3, start);
            PaidLevel paid = PaidLevel.startOf(start);
            for (MinuteUsage usage : meter.takeFinished(start.plusSeconds(600))) {
                paid = paid.raisedBy(usage);
            }
            assertThat(paid).isEqualTo(new PaidLevel(YearMonth.of(2026, 3), 3, 0));
        }

        /** Guards against counts that are reset when the wall clock is set back. */
        @Test
        void clockSetBackKeepsTheMinute() {
            MinuteMeter meter = MinuteMeter.startingAt(start);
            meter.recordStatements(4, start);
            meter.recordStatements(1, start.minusSeconds(300));
            assertThat(meter.current(start).statements()).isEqualTo(5);
            assertThat(meter.takeFinished(start)).isEmpty();
        }
    }
}
