package org.lavenderwick.cli.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.HdrHistogram.Histogram;
import org.lavenderwick.cli.bench.BenchReport.BusiestMinute;
import org.lavenderwick.cli.bench.BenchReport.RankReport;
import org.lavenderwick.cli.bench.BenchReport.RefusalCount;
import org.lavenderwick.cli.bench.BenchReport.Violations;
import org.lavenderwick.cli.bench.BenchReport.WriteGap;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.standins.history.AppliedWrite;
import org.lavenderwick.standins.history.OperationResult;
import org.lavenderwick.standins.history.Violation;

/** Computes the report of a run from what callers and endpoints saw. */
final class Measures {
    /** Difference of clocks that endpoints add to the age of their data. */
    private static final Duration CLOCK_ALLOWANCE = Duration.ofMillis(50);

    private static final int HISTOGRAM_DIGITS = 3;
    private static final int SECONDS_PER_MINUTE = 60;

    private final RunResult result;
    private final RunPlan plan;
    private final List<Outcome> measured;

    private Measures(RunResult result) {
        this.result = result;
        this.plan = result.plan();
        this.measured = result.measured();
    }

    /** Returns the report of a run with the violations that a checker found. */
    static BenchReport report(RunResult result, List<Violation> violations) {
        Measures measures = new Measures(result);
        RunPlan plan = result.plan();
        List<Outcome> reads = measures.measured.stream()
                .filter(outcome -> outcome.served() && !outcome.operation().write())
                .toList();
        long byReplica = reads.stream().filter(read -> !read.atPrimary()).count();
        return new BenchReport(
                plan.deployment().name(),
                plan.policy().label(),
                plan.seed(),
                Scenario.label(plan.scenarios()),
                plan.duration().toSeconds(),
                ratio(byReplica, reads.size()),
                ratio(measures.countReplicaCapable(reads), reads.size()),
                plan.changesPrimary() ? Optional.of(measures.writeGap()) : Optional.empty(),
                measures.ranks(),
                measures.worthServedRatio(),
                new BusiestMinute(result.sampler().mostConnections(), measures.busiestMinuteLoad()),
                result.senderLagMillis(),
                measures.refusals(),
                violations(violations));
    }

    private static double ratio(double part, double whole) {
        return whole == 0 ? 0 : Math.round(part / whole * 10_000) / 10_000.0;
    }

    /**
     * Counts the reads that a replica could have run when they were sent or answered: one whose data were as fresh as
     * the accepted age, or, for a read of a session that accepts no age, one whose log had the session's newest write.
     */
    private long countReplicaCapable(List<Outcome> reads) {
        Map<String, LogPoint> points = new HashMap<>();
        for (AppliedWrite write : result.history().writes()) {
            points.merge(write.value(), write.point(), LogPoint::max);
        }
        return reads.stream().filter(read -> replicaCapable(read, points)).count();
    }

    private boolean replicaCapable(Outcome read, Map<String, LogPoint> points) {
        Operation operation = read.operation();
        Optional<LogPoint> required = operation.requiredWrite().map(points::get);
        Duration acceptedAge = operation.workload().service().defaultMaxStaleness();
        if (required.isEmpty() && acceptedAge.isZero()) {
            return false;
        }
        List<ClusterSampler.ReplicaState> states =
                new ArrayList<>(result.sampler().replicas(operation.workload().group(), read.sentAt()));
        states.addAll(result.sampler().replicas(operation.workload().group(), read.endedAt()));
        return states.stream().anyMatch(state -> {
            boolean fresh =
                    acceptedAge.isZero() || state.age().plus(CLOCK_ALLOWANCE).compareTo(acceptedAge) <= 0;
            return fresh
                    && required.map(point -> state.point().compareTo(point) >= 0)
                            .orElse(true);
        });
    }

    /** Returns the longest gaps of the continuous writers that overlap the time from the change of primary on. */
    private WriteGap writeGap() {
        Map<String, List<Duration>> acknowledged = new TreeMap<>();
        for (Outcome outcome : measured) {
            String writer = outcome.operation().writer();
            if (!writer.isEmpty()) {
                List<Duration> times = acknowledged.computeIfAbsent(writer, absent -> new ArrayList<>());
                if (outcome.served()) {
                    times.add(outcome.endedAt());
                }
            }
        }
        List<Double> gaps =
                acknowledged.values().stream().map(this::longestGap).sorted().toList();
        return gaps.isEmpty() ? new WriteGap(0, 0) : new WriteGap(gaps.get(gaps.size() - 1), gaps.get(gaps.size() / 2));
    }

    private double longestGap(List<Duration> times) {
        Duration longest = Duration.ZERO;
        Duration before = plan.measuredFrom();
        List<Duration> sorted = new ArrayList<>(times);
        sorted.sort(Comparator.naturalOrder());
        // A writer that never resumes has a gap up to the end of the run.
        sorted.add(plan.measuredUntil());
        for (Duration time : sorted) {
            if (time.compareTo(plan.eventsFrom()) > 0 && time.minus(before).compareTo(longest) > 0) {
                longest = time.minus(before);
            }
            before = time;
        }
        return millis(longest.toNanos() / 1_000);
    }

    private List<RankReport> ranks() {
        Map<String, List<Outcome>> byRank = new LinkedHashMap<>();
        plan.deployment().workloads().forEach(workload -> byRank.put(workload.label(), new ArrayList<>()));
        measured.forEach(
                outcome -> byRank.get(outcome.operation().workload().label()).add(outcome));
        return plan.deployment().workloads().stream()
                .map(workload -> rank(workload, byRank.get(workload.label())))
                .toList();
    }

    private static RankReport rank(Workload workload, List<Outcome> outcomes) {
        Histogram latency = new Histogram(HISTOGRAM_DIGITS);
        latency.setAutoResize(true);
        outcomes.stream()
                .filter(Outcome::served)
                .forEach(outcome ->
                        latency.recordValue(Math.max(0, outcome.latency().toNanos() / 1_000)));
        long unknown = outcomes.stream()
                .filter(outcome -> outcome.result() == OperationResult.UNKNOWN)
                .count();
        long served = outcomes.stream().filter(Outcome::served).count();
        return new RankReport(
                workload.label(),
                workload.level(),
                workload.settings().target().toMillis(),
                workload.settings().worth(),
                outcomes.size(),
                served,
                outcomes.size() - served - unknown,
                unknown,
                outcomes.stream().filter(Outcome::withinTarget).count(),
                millis(latency.getValueAtPercentile(50)),
                millis(latency.getValueAtPercentile(99)));
    }

    private static double millis(long micros) {
        return Math.round(micros / 100.0) / 10.0;
    }

    private double worthServedRatio() {
        double served = measured.stream()
                .filter(Outcome::withinTarget)
                .mapToDouble(
                        outcome -> outcome.operation().workload().settings().worth())
                .sum();
        return ratio(served, BestWorth.of(plan, measured));
    }

    private long busiestMinuteLoad() {
        TreeMap<Long, Long> bySecond = new TreeMap<>();
        measured.stream()
                .filter(Outcome::served)
                .forEach(outcome -> bySecond.merge(outcome.endedAt().toSeconds(), 1L, Long::sum));
        if (plan.duration().toSeconds() < SECONDS_PER_MINUTE) {
            long total = bySecond.values().stream().mapToLong(Long::longValue).sum();
            return total * SECONDS_PER_MINUTE / Math.max(1, plan.duration().toSeconds());
        }
        return bySecond.keySet().stream()
                .mapToLong(second -> bySecond.subMap(second, second + SECONDS_PER_MINUTE).values().stream()
                        .mapToLong(Long::longValue)
                        .sum())
                .max()
                .orElse(0);
    }

    private List<RefusalCount> refusals() {
        Map<List<String>, Long> counts = measured.stream()
                .filter(outcome -> !outcome.served())
                .collect(Collectors.groupingBy(
                        outcome -> List.of(outcome.operation().workload().label(), outcome.kind()),
                        Collectors.counting()));
        return counts.entrySet().stream()
                .map(entry ->
                        new RefusalCount(entry.getKey().get(0), entry.getKey().get(1), entry.getValue()))
                .sorted(Comparator.comparing(RefusalCount::rank).thenComparing(RefusalCount::kind))
                .toList();
    }

    private static Violations violations(List<Violation> violations) {
        Map<Violation.Kind, Long> counts =
                violations.stream().collect(Collectors.groupingBy(Violation::kind, Collectors.counting()));
        return new Violations(
                counts.getOrDefault(Violation.Kind.WRONG_ANSWER, 0L),
                counts.getOrDefault(Violation.Kind.DOUBLE_RUN, 0L),
                counts.getOrDefault(Violation.Kind.STALE_SESSION_READ, 0L),
                counts.getOrDefault(Violation.Kind.LATE_ACKNOWLEDGEMENT, 0L),
                counts.getOrDefault(Violation.Kind.FALSE_NOT_RUN, 0L),
                counts.getOrDefault(Violation.Kind.LOST_IN_SWITCHOVER, 0L));
    }
}
