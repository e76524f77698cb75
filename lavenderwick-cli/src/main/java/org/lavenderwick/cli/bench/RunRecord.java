package org.lavenderwick.cli.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.HdrHistogram.Histogram;
import org.lavenderwick.standins.history.CallerOperation;

/** Everything that callers saw in one run, with times from its origin on the system clock. Thread-safe. */
final class RunRecord {
    private final Instant origin;
    private final ConcurrentLinkedQueue<CallerOperation> attempts = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Outcome> outcomes = new ConcurrentLinkedQueue<>();

    private final Histogram senderLag = new Histogram(2);

    RunRecord(Instant origin) {
        this.origin = origin;
    }

    Instant origin() {
        return origin;
    }

    /** Returns the time since the origin. */
    Duration now() {
        return Duration.between(origin, Instant.now());
    }

    void attempted(CallerOperation attempt) {
        attempts.add(attempt);
    }

    void ended(Outcome outcome) {
        outcomes.add(outcome);
    }

    /** Records by how much a request was sent after its intended time. */
    synchronized void started(Duration lag) {
        senderLag.recordValue(Math.max(0, lag.toNanos() / 1_000));
    }

    /** Returns the 99th percentile of the delay between the intended and the real time of sending. */
    synchronized double senderLagMillis() {
        return Math.round(senderLag.getValueAtPercentile(99) / 100.0) / 10.0;
    }

    List<CallerOperation> attempts() {
        return List.copyOf(attempts);
    }

    List<Outcome> outcomes() {
        return List.copyOf(outcomes);
    }
}
