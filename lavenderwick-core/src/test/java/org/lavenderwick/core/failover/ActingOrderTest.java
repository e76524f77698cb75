package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.DaemonName;

import static org.assertj.core.api.Assertions.assertThat;

class ActingOrderTest {

    private static final Duration STEP = Duration.ofMillis(40);

    /** Guards against a cap of the delay, with which all daemons behind it act in the same instant. */
    @Test
    void noTwoDaemonsActAtTheSameTime() {
        List<DaemonName> order = IntStream.range(0, 95)
                .mapToObj(index -> DaemonName.of("d" + index))
                .toList();
        assertThat(order.stream()
                        .map(daemon -> ActingOrder.delay(order, daemon, STEP).orElseThrow()))
                .doesNotHaveDuplicates()
                .startsWith(Duration.ZERO, STEP);
    }

    @Test
    void daemonOutsideTheOrderDoesNotAct() {
        assertThat(ActingOrder.delay(List.of(DaemonName.of("a")), DaemonName.of("b"), STEP))
                .isEmpty();
    }
}
