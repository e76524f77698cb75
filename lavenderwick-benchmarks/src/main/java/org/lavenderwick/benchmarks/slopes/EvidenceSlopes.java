package org.lavenderwick.benchmarks.slopes;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;
import org.lavenderwick.core.promotion.EndpointReport;
import org.lavenderwick.core.promotion.EvidenceRequests;
import org.lavenderwick.core.promotion.GroupRecord;
import org.lavenderwick.core.promotion.GroupState;
import org.lavenderwick.core.promotion.MonitorAction;
import org.lavenderwick.core.promotion.PrimaryMonitor;
import org.lavenderwick.core.promotion.PromotionTimings;
import org.lavenderwick.core.promotion.TermEvidence;
import org.lavenderwick.core.promotion.TermStart;

/**
 * Status questions that one owner of one group asks, with the real monitor and evidence in simulated time: half of the
 * statements are writes at the primary, the others reads at the two replicas. An answer takes 2 ms.
 */
final class EvidenceSlopes {
    /** Statements a second: idle, lightly used, and busy. The first is also an owner that is not the lead. */
    private static final int[] LOADS = {0, 1, 10, 100};

    private static final Duration RUN = Duration.ofSeconds(60);
    private static final Duration ANSWER = Duration.ofMillis(2);
    private static final Duration TICK = Duration.ofMillis(100);
    private static final Duration ASK_INTERVAL = Duration.ofMillis(50);
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(50);
    private static final List<EndpointName> ENDPOINTS =
            List.of(EndpointName.of("db-1"), EndpointName.of("db-2"), EndpointName.of("db-3"));
    private static final Term TERM = Term.of(7);

    private final Sampler sampler;

    EvidenceSlopes(Sampler sampler) {
        this.sampler = sampler;
    }

    List<Series> all() {
        List<Series> series = new ArrayList<>();
        series.add(series("monitor: questions to endpoints, one owner of one group", group -> group.probes));
        series.add(series("evidence: questions to endpoints, lead owner of one group", group -> group.questions));
        series.add(series("evidence: questions to the platform, lead owner of one group", group -> group.reads));
        series.add(cpu());
        return series;
    }

    private Series series(String name, java.util.function.ToLongFunction<Group> counted) {
        List<Point> points = new ArrayList<>();
        for (int load : LOADS) {
            points.add(sampler.point(load, run -> {
                Group group = new Group(load, run);
                group.time.runUntil(RUN, () -> false);
                return counted.applyAsLong(group) / (double) RUN.toSeconds();
            }));
        }
        return new Series(name, "questions/s", "statements/s", points);
    }

    /** One look of the monitor of a busy group, one answer and one write with evidence; independent of the size. */
    private Series cpu() {
        Group group = new Group(0, 0);
        Duration[] now = {Duration.ZERO};
        Point point = sampler.cpuMicros(1, () -> {
            now[0] = now[0].plusMillis(100);
            group.monitor.onEndpointResponse(group.report(ENDPOINTS.get(0)), now[0]);
            ENDPOINTS.forEach(endpoint -> group.evidence.recordEndpointResponse(endpoint, TERM, now[0]));
            group.monitor.tick(now[0]);
            return group.evidence.dueRequests(TERM, now[0]);
        });
        return new Series("monitor and evidence: one look and four answers", "us of CPU", "group", List.of(point));
    }

    private static final class Group {
        private final EventQueue time = new EventQueue();
        private final PrimaryMonitor monitor = PrimaryMonitor.create(ENDPOINTS, PromotionTimings.DEFAULT);
        private final TermEvidence evidence = TermEvidence.create(ENDPOINTS, PromotionTimings.DEFAULT);
        private final Duration[] reported = new Duration[ENDPOINTS.size()];
        private final Random random;
        private final int load;
        private long probes;
        private long questions;
        private long reads;

        Group(int load, long seed) {
            this.load = load;
            this.random = new Random(seed);
            GroupRecord record = record();
            monitor.onRecordRead(record, time.now());
            evidence.recordPlatformResponse(record, time.now());
            time.after(Duration.ofNanos(1 + random.nextLong(TICK.toNanos())), this::tick);
            if (load > 0) {
                nextStatement();
            }
        }

        private static GroupRecord record() {
            return new GroupRecord(
                    TERM,
                    ENDPOINTS.get(0),
                    GroupState.OPEN,
                    List.of(new TermStart(TERM, 0)),
                    1,
                    "operation",
                    false,
                    Optional.empty());
        }

        private void tick() {
            perform(monitor.tick(time.now()));
            time.after(TICK, this::tick);
        }

        private void perform(List<MonitorAction> actions) {
            for (MonitorAction action : actions) {
                if (action instanceof MonitorAction.Probe probe) {
                    probes++;
                    ask(probe.endpoint());
                } else {
                    throw new IllegalStateException("a healthy group is not promoted: " + action);
                }
            }
        }

        private void ask(EndpointName endpoint) {
            Duration askedAt = time.now();
            time.after(ANSWER, () -> answered(endpoint, askedAt));
        }

        private void answered(EndpointName endpoint, Duration askedAt) {
            evidence.recordEndpointResponse(endpoint, TERM, askedAt);
            int index = ENDPOINTS.indexOf(endpoint);
            Duration last = reported[index];
            if (last == null || time.now().minus(last).compareTo(REPORT_INTERVAL) >= 0) {
                reported[index] = time.now();
                perform(monitor.onEndpointResponse(report(endpoint), time.now()));
            }
        }

        private EndpointReport report(EndpointName endpoint) {
            LogPoint point = LogPoint.of(TERM.number(), time.now().toMillis());
            Instant stamp = Instant.EPOCH.plus(time.now());
            return new EndpointReport(endpoint, endpoint.equals(ENDPOINTS.get(0)), TERM, TERM, point, stamp, 0);
        }

        private void nextStatement() {
            double seconds = -Math.log(1 - random.nextDouble()) / load;
            time.after(Duration.ofNanos((long) (seconds * 1e9)), () -> {
                statement();
                nextStatement();
            });
        }

        private void statement() {
            if (random.nextBoolean()) {
                askForEvidence();
                Duration askedAt = time.now();
                time.after(ANSWER, () -> {
                    answered(ENDPOINTS.get(0), askedAt);
                    awaitEvidence();
                });
            } else {
                ask(ENDPOINTS.get(1 + random.nextInt(ENDPOINTS.size() - 1)));
            }
        }

        private void awaitEvidence() {
            if (!evidence.mayAcknowledge(TERM, time.now())) {
                askForEvidence();
                time.after(ASK_INTERVAL, this::awaitEvidence);
            }
        }

        private void askForEvidence() {
            EvidenceRequests due = evidence.dueRequests(TERM, time.now());
            questions += due.endpoints().size();
            due.endpoints().forEach(this::ask);
            if (due.platform()) {
                reads++;
                Duration askedAt = time.now();
                time.after(ANSWER, () -> evidence.recordPlatformResponse(record(), askedAt));
            }
        }
    }
}
