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
    private final Duration measuredFrom;
    private final ConcurrentLinkedQueue<CallerOperation> attempts = new ConcurrentLinkedQueue<>();
    private final ConcurrentLinkedQueue<Outcome> outcomes = new ConcurrentLinkedQueue<>();

    private final Histogram senderLag = new Histogram(2);

    RunRecord(Instant origin, Duration measuredFrom) {
        this.origin = origin;
        this.measuredFrom = measuredFrom;
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

    /** Records by how much a request that starts now is late. */
    synchronized void started(Duration intendedAt) {
        if (intendedAt.compareTo(measuredFrom) >= 0) {
            senderLag.recordValue(Math.max(0, now().minus(intendedAt).toNanos() / 1_000));
        }
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
