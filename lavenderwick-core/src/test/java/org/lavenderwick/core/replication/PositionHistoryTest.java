package org.lavenderwick.core.replication;

import java.time.Duration;

import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.LogPoint;

import static org.assertj.core.api.Assertions.assertThat;

class PositionHistoryTest {

    private final PositionHistory history = PositionHistory.create(Duration.ofSeconds(10));

    private static Duration at(long millis) {
        return Duration.ofMillis(millis);
    }

    @Test
    void lowestPositionThatCoversATimeIsReturned() {
        history.observe(at(100), LogPoint.of(1, 10));
        history.observe(at(200), LogPoint.of(1, 20));
        history.observe(at(300), LogPoint.of(1, 30));
        assertThat(history.covering(at(150))).contains(LogPoint.of(1, 20));
        assertThat(history.covering(at(200))).contains(LogPoint.of(1, 20));
    }

    @Test
    void positionRequestedBeforeATimeDoesNotCoverIt() {
        history.observe(at(100), LogPoint.of(1, 10));
        assertThat(history.covering(at(101))).isEmpty();
    }

    @Test
    void laterTermReplacesEarlierPositions() {
        history.observe(at(100), LogPoint.of(1, 90));
        history.observe(at(200), LogPoint.of(2, 80));
        assertThat(history.covering(at(50))).contains(LogPoint.of(2, 80));
    }

    @Test
    void positionOfAReplacedTermIsIgnored() {
        history.observe(at(100), LogPoint.of(2, 80));
        history.observe(at(200), LogPoint.of(1, 99));
        assertThat(history.covering(at(150))).isEmpty();
    }

    @Test
    void positionsOutsideTheWindowAreDiscarded() {
        history.observe(at(0), LogPoint.of(1, 1));
        history.observe(at(10_001), LogPoint.of(1, 2));
        assertThat(history.covering(at(0))).contains(LogPoint.of(1, 2));
    }

    @Test
    void clearedHistoryCoversNothing() {
        history.observe(at(100), LogPoint.of(1, 10));
        history.clear();
        assertThat(history.covering(at(0))).isEmpty();
    }
}
