package org.lavenderwick.core.balancing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The quality of one endpoint as this daemon measures it from responses: latency over expected service time, the shares
 * of failed, lost and rejected statements, and the round trip. All but the round trip is forgotten within seconds. Not
 * thread-safe.
 */
final class EndpointQuality {

    private static final Duration WINDOW = Duration.ofSeconds(2);

    /** Time after which a lower round trip that was measured before may no longer be the current one. */
    private static final Duration ROUND_TRIP_WINDOW = Duration.ofSeconds(30);

    private final DecayingSum completed = DecayingSum.create(WINDOW);
    private final DecayingSum unsuccessful = DecayingSum.create(WINDOW);
    private final DecayingSum rejected = DecayingSum.create(WINDOW);
    private final DecayingMean delay = DecayingMean.create(WINDOW);
    private final Deque<Duration> outstanding = new ArrayDeque<>();
    private Duration lastDelayAt = Duration.ofSeconds(-1);
    private Duration lastResponseAt = Duration.ofSeconds(-1);
    private long roundTripNanos = -1;
    private long previousRoundTripNanos = -1;
    private Duration roundTripWindowEnd = Duration.ZERO;

    void onSent(Duration now) {
        outstanding.addLast(now);
    }

    /** Records that the endpoint responded to any request. */
    void onResponse(Duration now) {
        lastResponseAt = now;
    }

    /** Records the outcome of a statement. */
    void onFinished(Duration sentAt, StatementOutcome outcome, Duration now) {
        outstanding.removeFirstOccurrence(sentAt);
        switch (outcome) {
            case SUCCEEDED -> completed.add(1, now);
            case FAILED, LOST -> {
                completed.add(1, now);
                unsuccessful.add(1, now);
            }
            case REJECTED -> rejected.add(1, now);
            default -> {}
        }
    }

    /** Records the ratio of a service time to the expected one. */
    void recordDelay(double ratio, Duration now) {
        delay.add(ratio, now);
        lastDelayAt = now;
    }

    /** Returns when the latest service time was recorded. */
    Duration lastDelayAt() {
        return lastDelayAt;
    }

    /** Returns whether there are enough recent service times to tell the delay. */
    boolean isDelayKnown(double minSamples, Duration now) {
        return delay.weight(now) >= minSamples;
    }

    /** Records a time that a round trip took at most: that of a TCP handshake or of a response. */
    void recordRoundTrip(Duration time, Duration now) {
        if (now.compareTo(roundTripWindowEnd) >= 0) {
            previousRoundTripNanos = roundTripNanos;
            roundTripNanos = -1;
            roundTripWindowEnd = now.plus(ROUND_TRIP_WINDOW);
        }
        roundTripNanos = roundTripNanos < 0 ? time.toNanos() : Math.min(roundTripNanos, time.toNanos());
    }

    /** Returns the lowest round trip of the last minute in nanoseconds; negative if none was measured. */
    long roundTripNanos() {
        return roundTripNanos < 0 || previousRoundTripNanos < 0
                ? Math.max(roundTripNanos, previousRoundTripNanos)
                : Math.min(roundTripNanos, previousRoundTripNanos);
    }

    /** Returns the number of statements that were run or lost, where past ones count less. */
    double completed(Duration now) {
        return completed.value(now);
    }

    double unsuccessful(Duration now) {
        return unsuccessful.value(now);
    }

    /** Returns the share of statements that were rejected. */
    double rejectedShare(Duration now) {
        double rejections = rejected.value(now);
        return rejections < 0.5 ? 0 : rejections / (rejections + completed.value(now));
    }

    /** Returns the mean latency over the expected service time; 1 if there are fewer than the given samples. */
    double delay(double minSamples, Duration now) {
        return delay.weight(now) < minSamples ? 1 : delay.mean();
    }

    /** Returns how many statements were sent at least the given time ago, with no response of any kind since. */
    int unanswered(Duration atLeast, Duration now) {
        int count = 0;
        for (Duration sentAt : outstanding) {
            if (sentAt.compareTo(lastResponseAt) >= 0 && now.minus(sentAt).compareTo(atLeast) >= 0) {
                count++;
            }
        }
        return count;
    }

    /** Forgets what was measured, except for the round trip. */
    void reset() {
        completed.reset();
        unsuccessful.reset();
        rejected.reset();
        delay.reset();
    }
}
