package org.lavenderwick.cli.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.lavenderwick.cli.cluster.LocalCluster;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.daemon.Daemon;
import org.lavenderwick.daemon.DaemonOptions;
import org.lavenderwick.standins.EndpointHistoryRecorder;
import org.lavenderwick.standins.EndpointOptions;
import org.lavenderwick.standins.LinkRule;
import org.lavenderwick.standins.StandinFleet;
import org.lavenderwick.standins.history.History;

/** One run: starts a cluster, sends the load, brings the faults about and measures. */
final class BenchRun {
    private static final Duration CONNECT_TIME = Duration.ofMillis(12);
    private static final Duration LINK_DELAY = Duration.ofMillis(1);
    private static final long SAMPLE_MILLIS = 50;

    private final RunPlan plan;
    private final Consumer<String> progress;

    BenchRun(RunPlan plan, Consumer<String> progress) {
        this.plan = plan;
        this.progress = progress;
    }

    /** Runs the plan and returns what was seen. */
    RunResult run() throws Exception {
        EndpointHistoryRecorder history = new EndpointHistoryRecorder(Instant.EPOCH);
        StandinFleet.Options standins = StandinFleet.Options.standard()
                .withHistory(history)
                .withEndpoints(EndpointOptions.DEFAULT.withTimes(CONNECT_TIME, LoadPlan.STATEMENT_TIME));
        DaemonOptions options =
                DaemonOptions.standard().withPolicies(plan.policy().policies());
        progress.accept("Starting " + plan.deployment().daemons() + " daemons.");
        try (LocalCluster cluster = LocalCluster.start(
                        plan.deployment().configuration(),
                        standins,
                        plan.deployment().daemons(),
                        options);
                HttpCaller caller = HttpCaller.start()) {
            delayLinks(cluster);
            return measure(cluster, caller, history);
        }
    }

    private RunResult measure(LocalCluster cluster, HttpCaller caller, EndpointHistoryRecorder history)
            throws InterruptedException {
        FaultScript faults = new FaultScript(cluster.fleet(), plan);
        faults.prepare();
        Instant origin = Instant.now();
        RunRecord record = new RunRecord(origin, plan.measuredFrom());
        ClusterSampler sampler = new ClusterSampler(cluster.fleet(), record);
        List<String> addresses = new ArrayList<>();
        for (Daemon daemon : cluster.daemons()) {
            addresses.add(daemon.address() + ":" + daemon.callerPort());
        }
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, task -> {
            Thread thread = new Thread(task, "bench-timer");
            thread.setDaemon(true);
            return thread;
        });
        try {
            timer.scheduleAtFixedRate(sampler, 0, SAMPLE_MILLIS, TimeUnit.MILLISECONDS);
            timer.schedule(
                    () -> faults.begin().forEach(progress), plan.eventsFrom().toMillis(), TimeUnit.MILLISECONDS);
            progress.accept("Sending load for %d s after %d s of warm-up."
                    .formatted(plan.duration().toSeconds(), plan.measuredFrom().toSeconds()));
            new LoadGenerator(addresses, caller, record).run(LoadPlan.streams(plan));
        } finally {
            timer.shutdownNow();
        }
        History seen = new History(
                record.attempts().stream()
                        .map(attempt -> RunResult.sinceEpoch(attempt, origin))
                        .toList(),
                history.writes(),
                history.openings((group, term) -> plan.has(Scenario.LEAVING) && !plan.has(Scenario.FAILOVER)));
        return new RunResult(plan, origin, record.outcomes(), seen, sampler, record.senderLagMillis());
    }

    /** Delays the links between daemons of different failure domains. The stand-ins do not delay other links. */
    private static void delayLinks(LocalCluster cluster) {
        List<FailureDomain> domains =
                List.copyOf(StandinFleet.blocks(cluster.fleet().configuration()).keySet());
        for (Daemon daemon : cluster.daemons()) {
            for (FailureDomain domain : domains) {
                if (!domain.equals(cluster.domain(daemon))) {
                    cluster.relay(daemon).rule(cluster.fleet().block(domain), LinkRule.delayed(LINK_DELAY));
                }
            }
        }
    }
}
