package org.lavenderwick.cli.bench;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.standins.StandinFleet;
import org.lavenderwick.standins.history.History;
import org.lavenderwick.standins.history.OperationResult;
import org.lavenderwick.standins.history.Violation;

import static org.assertj.core.api.Assertions.assertThat;

class MeasuresTest {
    private static final RunPlan PLAN = new RunPlan(
            Deployment.demo(),
            PolicyChoice.STANDARD,
            1,
            Set.of(Scenario.FAILOVER),
            Duration.ofSeconds(15),
            Duration.ZERO);
    private static final Workload URGENT = PLAN.deployment().workloads().get(0);
    private static final Workload LATER = PLAN.deployment().workloads().get(2);

    private final List<Outcome> outcomes = new ArrayList<>();

    private void served(Workload workload, String writer, long atMillis, long latencyMillis) {
        ended(workload, writer, OperationResult.ACKNOWLEDGED, atMillis, latencyMillis);
    }

    private void ended(Workload workload, String writer, OperationResult result, long atMillis, long latencyMillis) {
        Duration at = Duration.ofMillis(atMillis);
        CallerSession session = new CallerSession("s", 0);
        Operation operation = new Operation(
                workload, writer, session, !writer.isEmpty(), "k", Optional.empty(), Optional.empty(), at);
        outcomes.add(new Outcome(operation, result, true, "", at, at.plusMillis(latencyMillis)));
    }

    private BenchReport report(List<Violation> violations) {
        History history = new History(List.of(), List.of(), List.of());
        try (StandinFleet fleet =
                StandinFleet.start(PLAN.deployment().configuration(), StandinFleet.Options.standard())) {
            ClusterSampler sampler = new ClusterSampler(fleet, new RunRecord(Instant.EPOCH, Duration.ZERO));
            return Measures.report(new RunResult(PLAN, Instant.EPOCH, outcomes, history, sampler, 0), violations);
        }
    }

    @Nested
    class WriteGaps {

        /** Guards against a gap that misses writers which never resume, or which counts refused writes. */
        @Test
        void lastsToTheEndForAWriterThatIsRefusedFromTheFaultOn() {
            served(URGENT, "a", 9_900, 50);
            ended(URGENT, "a", OperationResult.NOT_RUN, 12_000, 50);
            served(URGENT, "b", 9_900, 50);
            served(URGENT, "b", 12_900, 50);
            for (long at = 13_000; at < 20_000; at += 100) {
                served(URGENT, "b", at, 50);
            }

            BenchReport.WriteGap gap = report(List.of()).failoverWriteGapMs().orElseThrow();
            assertThat(gap.max()).isEqualTo(10_050);
        }

        @Test
        void leavesOutGapsBeforeTheFault() {
            served(URGENT, "a", 5_000, 50);
            for (long at = 9_000; at < 20_000; at += 100) {
                served(URGENT, "a", at, 50);
            }

            assertThat(report(List.of()).failoverWriteGapMs().orElseThrow().max())
                    .isEqualTo(100);
        }
    }

    @Nested
    class Ranks {

        /** Guards against latencies that count from the time of sending, and against warm-up in the figures. */
        @Test
        void countFromTheIntendedTimeAfterTheWarmUp() {
            served(URGENT, "", 1_000, 9_000);
            served(URGENT, "", 6_000, 100);
            served(URGENT, "", 7_000, 200);
            ended(URGENT, "", OperationResult.NOT_RUN, 8_000, 1);
            ended(URGENT, "", OperationResult.UNKNOWN, 8_000, 1);

            BenchReport.RankReport rank = report(List.of()).ranks().get(0);
            assertThat(rank.offered()).isEqualTo(4);
            assertThat(rank.served()).isEqualTo(2);
            assertThat(rank.refused()).isEqualTo(1);
            assertThat(rank.unknown()).isEqualTo(1);
            assertThat(rank.withinTarget()).isEqualTo(1);
            // The histogram keeps three digits.
            assertThat(rank.p99Ms()).isBetween(199.8, 200.2);
        }
    }

    @Nested
    class Worth {

        /** Guards against a bound above what the slots can run: 9 slots of 10 ms run 900 statements a second. */
        @Test
        void bestIsBoundByTheSlots() {
            for (int i = 0; i < 1_000; i++) {
                served(URGENT, "", 19_000, 50);
            }
            for (int i = 0; i < 1_000; i++) {
                ended(LATER, "", OperationResult.NOT_RUN, 19_000, 1);
            }

            // Urgent work fills the first second; the rest of it misses its target, and the lowest rank comes later.
            assertThat(BestWorth.of(PLAN, outcomes)).isEqualTo(900 * 100 + 1_000);
        }
    }

    @Nested
    class Guarantees {

        /** Guards against violations that the report hides. */
        @Test
        void everyKindOfViolationIsCounted() {
            List<Violation> all = new ArrayList<>();
            for (Violation.Kind kind : Violation.Kind.values()) {
                all.add(new Violation(kind, ""));
            }
            assertThat(report(all).violations().total()).isEqualTo(Violation.Kind.values().length);
        }
    }

    @Nested
    class Answers {

        /** Guards against a refusal that is taken for an unknown outcome, which would hide a false one. */
        @Test
        void refusalsKeepWhetherTheRequestRan() {
            assertThat(reply("{\"kind\":\"QUEUE_FULL\",\"ran\":\"no\"}")).isEqualTo(OperationResult.NOT_RUN);
            assertThat(reply("{\"kind\":\"OUTCOME_UNKNOWN\",\"ran\":\"unknown\"}"))
                    .isEqualTo(OperationResult.UNKNOWN);
            assertThat(reply("{\"kind\":\"SESSION_WRITE_LOST\",\"ran\":\"no\"}"))
                    .isEqualTo(OperationResult.SESSION_WRITE_LOST);
            assertThat(reply("no JSON")).isEqualTo(OperationResult.UNKNOWN);
        }

        private static OperationResult reply(String body) {
            return Reply.parse(503, body.getBytes(StandardCharsets.UTF_8)).result();
        }
    }
}
