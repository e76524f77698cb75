package org.lavenderwick.cli.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ArrivalStreamTest {
    private static final Workload WORKLOAD = Deployment.keenedge().workloads().get(0);

    /** Guards against runs of one seed with different loads, because the number of choices depends on answers. */
    @Test
    void choicesDoNotChangeTheArrivals() {
        assertThat(arrivals(7, 3)).isEqualTo(arrivals(7, 0)).isNotEqualTo(arrivals(8, 0));
    }

    /** Guards against a load of another rate than the stated one. */
    @Test
    void arrivalsHaveTheStatedRate() {
        assertThat(arrivals(7, 0)).hasSizeBetween(1_800, 2_200).isSorted();
    }

    @Test
    void writersSendAtEqualGaps() {
        ArrivalStream stream = ArrivalStream.writer(WORKLOAD, "writer", 10, Duration.ofSeconds(1), 1);
        assertThat(stream.next()).isEqualTo(Duration.ofMillis(100));
        stream.advance();
        assertThat(stream.next()).isEqualTo(Duration.ofMillis(200));
    }

    private static List<Duration> arrivals(long seed, int choices) {
        ArrivalStream stream =
                ArrivalStream.poisson(WORKLOAD, 100, Duration.ofSeconds(5), Duration.ofSeconds(25), seed);
        List<Duration> result = new ArrayList<>();
        while (stream.open()) {
            result.add(stream.next());
            stream.choices().ints(choices).forEach(choice -> {});
            stream.advance();
        }
        return result;
    }
}
