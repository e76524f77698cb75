package org.lavenderwick.core.promotion;

import java.time.Duration;
import java.util.Optional;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.Term;

/** A simulated daemon that sends writes and acknowledges each of them as late as its evidence allows. */
final class SimulatedWriter {

    private static final long MILLIS = SimulatedNetwork.MILLIS;

    private final PromotionSimulation run;
    private final SimulatedNetwork network;
    private final int node;
    private final SimulatedNetwork.Clock clock;
    private final TermEvidence evidence;
    private Term term = Term.of(1);
    private EndpointName primary;

    SimulatedWriter(PromotionSimulation run, int node) {
        this.run = run;
        this.network = run.network;
        this.node = node;
        this.clock = SimulatedNetwork.Clock.drifting(
                network.random, run.safeguards.holder().clockDriftBound());
        this.evidence = TermEvidence.create(run.endpointNames(), run.safeguards.holder());
        this.primary = run.endpointNames().get(0);
        scheduleWrite();
    }

    private Duration now() {
        return Duration.ofNanos(clock.toLocal(network.now()));
    }

    private void scheduleWrite() {
        network.after(network.random.nextLong(100 * MILLIS, 700 * MILLIS), this::write);
    }

    private void write() {
        scheduleWrite();
        requestEvidence();
        int write = run.nextWrite();
        Term expected = term;
        Duration sentAt = now();
        FakeEndpoint endpoint = run.endpoint(primary);
        network.send(node, endpoint.node, () -> {
            if (!endpoint.begin(expected.number(), write)) {
                EndpointReport report = endpoint.report();
                network.send(endpoint.node, node, () -> recordReport(report, sentAt));
                return;
            }
            long length = network.random.nextLong((network.random.nextInt(20) == 0 ? 1_500 : 30) * MILLIS);
            network.after(length, () -> {
                int position = endpoint.commit(write);
                EndpointReport report = endpoint.report();
                network.send(endpoint.node, node, () -> {
                    recordReport(report, sentAt);
                    if (position > 0) {
                        acknowledgeLate(expected, write, position, 40);
                    }
                });
            });
        });
    }

    /** Requests evidence as the daemon does, and sometimes also reads the platform when that is not due. */
    private void requestEvidence() {
        EvidenceRequests due = evidence.dueRequests(term, now());
        Duration sentAt = now();
        for (EndpointName name : due.endpoints()) {
            FakeEndpoint endpoint = run.endpoint(name);
            network.call(node, endpoint.node, endpoint::report, report -> recordReport(report, sentAt));
        }
        if (due.platform() || network.random.nextInt(6) == 0) {
            network.call(node, PromotionSimulation.PLATFORM, run.platform::read, read -> {
                evidence.recordPlatformResponse(read.record(), sentAt);
                if (read.record().state() == GroupState.OPEN) {
                    follow(read.record().term(), read.record().primary());
                }
            });
        }
    }

    private void recordReport(EndpointReport report, Duration sentAt) {
        evidence.recordEndpointResponse(report.endpoint(), report.promisedTerm(), sentAt);
        if (report.primary()) {
            follow(report.term(), report.endpoint());
        }
    }

    private void follow(Term newTerm, EndpointName newPrimary) {
        if (newTerm.isAfter(term)) {
            term = newTerm;
            primary = newPrimary;
        }
    }

    private void acknowledgeLate(Term written, int write, int position, int triesLeft) {
        Optional<Duration> until = evidence.validUntil(written);
        if (until.isEmpty() || until.get().compareTo(now()) < 0) {
            if (triesLeft > 0) {
                requestEvidence();
                network.after(100 * MILLIS, () -> acknowledgeLate(written, write, position, triesLeft - 1));
            }
            return;
        }
        long latest = Math.min(clock.toSimulated(until.get().toNanos()), network.now() + 5_000 * MILLIS);
        network.at(latest, () -> {
            Optional<Duration> later = evidence.validUntil(written);
            boolean renewed = later.isPresent() && later.get().compareTo(until.get()) > 0;
            if (renewed && triesLeft > 0 && network.random.nextBoolean()) {
                acknowledgeLate(written, write, position, triesLeft - 1);
            } else if (evidence.mayAcknowledge(written, now())) {
                run.acknowledged(written.number(), write, position);
            }
        });
    }
}
