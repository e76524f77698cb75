package org.lavenderwick.core.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongFunction;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;

import static org.assertj.core.api.Assertions.assertThat;

class PrimaryMonitorTest {

    private static final List<EndpointName> ENDPOINTS =
            List.of(EndpointName.of("e1"), EndpointName.of("e2"), EndpointName.of("e3"));
    private static final EndpointName PRIMARY = ENDPOINTS.get(0);
    private static final MonitorAction START = new MonitorAction.StartPromotion(Term.of(2));

    private final PrimaryMonitor monitor = PrimaryMonitor.create(ENDPOINTS, PromotionTimings.DEFAULT);

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    private static GroupRecord record(GroupState state) {
        return new GroupRecord(Term.of(2), PRIMARY, state, List.of(), 1, state.name(), false, Optional.empty());
    }

    private List<MonitorAction> respond(EndpointName endpoint, long pointTimeMillis, long now) {
        Term term = Term.of(2);
        Instant pointTime = Instant.ofEpochMilli(pointTimeMillis);
        return monitor.onEndpointResponse(
                new EndpointReport(endpoint, endpoint.equals(PRIMARY), term, term, LogPoint.of(2, 7), pointTime, 0),
                ms(now));
    }

    /** Ticks every 100 ms. The given number of replicas respond to a probe at once, with the current point time. */
    private List<MonitorAction> run(long from, long to, int responding, LongFunction<Long> pointTime) {
        List<MonitorAction> all = new ArrayList<>();
        for (long now = from; now <= to; now += 100) {
            List<MonitorAction> actions = monitor.tick(ms(now));
            all.addAll(actions);
            for (MonitorAction action : actions) {
                int index = action instanceof MonitorAction.Probe probe ? ENDPOINTS.indexOf(probe.endpoint()) : 0;
                if (index > 0 && index <= responding) {
                    respond(ENDPOINTS.get(index), pointTime.apply(now), now);
                }
            }
        }
        return all;
    }

    @BeforeEach
    void primaryResponds() {
        monitor.onRecordRead(record(GroupState.OPEN), ms(0));
        monitor.tick(ms(0));
        respond(PRIMARY, 50_000, 0);
    }

    @Test
    void startsAfterOneSecondOfSilence() {
        assertThat(run(100, 400, 2, now -> 50_000L)).isEmpty();
        assertThat(run(500, 900, 2, now -> 50_100L))
                .contains(new MonitorAction.Probe(PRIMARY))
                .doesNotContain(START);
        assertThat(run(1_000, 1_000, 2, now -> 50_100L)).contains(START);
    }

    /** Guards against a promotion when only the monitoring daemon is partitioned from the primary. */
    @Test
    void doesNotStartWhileReplicasReportProgress() {
        assertThat(run(100, 5_000, 2, now -> 50_000 + now)).doesNotContain(START);
    }

    /** Guards against a promotion that discards entries not yet applied, and against one that never starts. */
    @Test
    void startsWhenReplicasHaveAppliedTheirBacklog() {
        assertThat(run(100, 1_500, 2, now -> 40_000 + Math.min(now, 1_300))).doesNotContain(START);
        assertThat(run(1_600, 2_500, 2, now -> 41_300L)).contains(START);
    }

    /** Guards against a promotion that cannot seal a majority. */
    @Test
    void doesNotStartWithoutAMajority() {
        assertThat(run(100, 5_000, 1, now -> 50_000L)).doesNotContain(START);
    }

    /** Guards against a promotion because the monitoring process was paused and did not read the responses. */
    @Test
    void restartsSilenceMeasurementAfterAProcessPause() {
        assertThat(run(3_000, 3_900, 2, now -> 50_000L)).doesNotContain(START);
        assertThat(run(4_000, 4_000, 2, now -> 50_000L)).contains(START);
    }

    /** Guards against probing a primary whose responses to traffic show that it is alive. */
    @Test
    void trafficReplacesProbes() {
        for (long now = 100; now <= 2_000; now += 100) {
            respond(PRIMARY, 50_000 + now, now);
            assertThat(monitor.tick(ms(now))).isEmpty();
        }
    }

    @Test
    void withdrawsWhenThePrimaryRespondsAgain() {
        assertThat(run(100, 1_000, 2, now -> 50_000L)).contains(START);
        assertThat(respond(PRIMARY, 51_000, 1_050)).containsExactly(new MonitorAction.WithdrawPromotion(Term.of(2)));
    }

    /** Guards against a promotion that stays unfinished because its coordinator crashed. */
    @Test
    void resumesAnUnfinishedPromotion() {
        monitor.onRecordRead(record(GroupState.CLOSING), ms(100));
        assertThat(run(100, 1_000, 2, now -> 50_000L)).isEmpty();
        assertThat(run(1_100, 1_200, 2, now -> 50_000L)).containsExactly(new MonitorAction.ResumePromotion());
    }
}
