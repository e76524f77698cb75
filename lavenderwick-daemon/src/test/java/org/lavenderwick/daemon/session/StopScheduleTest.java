package org.lavenderwick.daemon.session;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class StopScheduleTest {

    /** Guards against a short stop whose end comes before its other times, so that no session is closed. */
    @ParameterizedTest
    @ValueSource(longs = {1, 200, 1000, 3000, 6000, 60_000})
    void timesFollowEachOther(long stopMillis) {
        StopSchedule schedule = StopSchedule.of(Duration.ofMillis(stopMillis));
        assertThat(schedule.firstClose()).isLessThan(schedule.lastOperation());
        assertThat(schedule.lastOperation()).isLessThanOrEqualTo(schedule.lastStart());
        assertThat(schedule.lastStart()).isLessThanOrEqualTo(schedule.lastAnswer());
        assertThat(schedule.lastAnswer()).isLessThan(schedule.end());
        assertThat(schedule.end()).isLessThan(Duration.ofMillis(stopMillis));
    }

    /** Guards against open transactions that get less than half of the stop time to end. */
    @Test
    void transactionsHaveHalfOfTheStopTime() {
        assertThat(StopSchedule.of(Duration.ofSeconds(6)).lastOperation()).isEqualTo(Duration.ofSeconds(3));
    }

    @Test
    void stopTimeMustBePositive() {
        assertThatThrownBy(() -> StopSchedule.of(Duration.ZERO)).isInstanceOf(IllegalArgumentException.class);
    }
}
