package org.lavenderwick.cli.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Writes a report as a table for people. */
final class ReportTable {

    private ReportTable() {}

    /** Returns the lines of the table. */
    static List<String> lines(BenchReport report) {
        List<String> lines = new ArrayList<>();
        lines.add(format(
                "%s, policy %s, seed %d, scenario %s, %d s",
                report.deployment(), report.policy(), report.seed(), report.scenario(), report.seconds()));
        lines.add(format(
                "%-28s %9s %9s %9s %9s %9s %9s %9s %9s",
                "rank", "target ms", "offered", "served", "refused", "unknown", "in target", "p50 ms", "p99 ms"));
        for (BenchReport.RankReport rank : report.ranks()) {
            lines.add(format(
                    "%-28s %9d %9d %9d %9d %9d %9d %9.1f %9.1f",
                    rank.rank(),
                    rank.targetMs(),
                    rank.offered(),
                    rank.served(),
                    rank.refused(),
                    rank.unknown(),
                    rank.withinTarget(),
                    rank.p50Ms(),
                    rank.p99Ms()));
        }
        for (BenchReport.RefusalCount refusal : report.refusals()) {
            lines.add(format("not served: %-28s %-24s %d", refusal.rank(), refusal.kind(), refusal.count()));
        }
        lines.add(format(
                "reads at replicas: %.1f %% (ceiling %.1f %%)",
                100 * report.replicaReadShare(), 100 * report.replicaReadCeiling()));
        report.failoverWriteGapMs()
                .ifPresent(gap ->
                        lines.add(format("gap in writes: longest %.0f ms, median %.0f ms", gap.max(), gap.median())));
        lines.add(format("worth served of the best possible: %.1f %%", 100 * report.worthServedRatio()));
        lines.add(format(
                "busiest minute: %d connections, %d statements",
                report.busiestMinute().connections(), report.busiestMinute().load()));
        lines.add(format("sent late by the load generator: p99 %.1f ms", report.senderLagP99Ms()));
        lines.add(format("violations: %d", report.violations().total()));
        return lines;
    }

    private static String format(String text, Object... values) {
        return String.format(Locale.ROOT, text, values);
    }
}
