package org.lavenderwick.core.balancing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.lavenderwick.core.model.EndpointName;

/**
 * The service times of a group by endpoint and kind of statement. The expected service time of a kind is that of the
 * fastest endpoint, so that one slow endpoint does not raise it. Not thread-safe.
 */
final class ServiceTimes {

    private static final Duration RECENT = Duration.ofSeconds(2);

    /** A primary-only kind has no second endpoint to compare with; its own past serves for about this long. */
    private static final Duration LONG_TERM = Duration.ofSeconds(20);

    private static final double MIN_SAMPLES = 4;
    private static final double MIN_RECENT_SAMPLES = 8;

    /** With 8 samples, a mean this much lower than the long-term one is not explained by varying service times. */
    private static final double RESTART_BELOW = 0.8;

    private static final class Estimate {
        private final DecayingMean recent = DecayingMean.create(RECENT);
        private final DecayingMean longTerm = DecayingMean.create(LONG_TERM);

        void add(double nanos, Duration now) {
            recent.add(nanos, now);
            longTerm.add(nanos, now);
            if (recent.weight(now) >= MIN_RECENT_SAMPLES && recent.mean() < RESTART_BELOW * longTerm.mean()) {
                // The long-term mean rises with load; a clearly lower recent mean is closer to the service time.
                longTerm.restart(recent.mean(), now);
            }
        }
    }

    private final Map<String, Map<EndpointName, Estimate>> estimates = new HashMap<>();
    private final DecayingMean work = DecayingMean.create(LONG_TERM);
    private long samples;

    /** Records the service time of a statement, which is its latency less the round trip. */
    void record(EndpointName endpoint, String kind, long serviceNanos, Duration now) {
        estimates
                .computeIfAbsent(kind, name -> new HashMap<>())
                .computeIfAbsent(endpoint, name -> new Estimate())
                .add(serviceNanos, now);
        work.add(expectedNanos(kind), now);
        samples++;
    }

    /** Returns the expected service time of a kind of statement in nanoseconds; 0 before the first sample. */
    double expectedNanos(String kind) {
        double lowest = 0;
        for (Estimate estimate : estimates.getOrDefault(kind, Map.of()).values()) {
            double mean = estimate.longTerm.mean();
            lowest = lowest == 0 ? mean : Math.min(lowest, mean);
        }
        return lowest;
    }

    /** Returns the mean expected service time over all statements in nanoseconds; 0 without enough samples. */
    double meanWorkNanos() {
        return samples < MIN_SAMPLES ? 0 : work.mean();
    }

    /** Removes the estimates of endpoints that are not in the given set. */
    void retain(Set<EndpointName> endpoints) {
        estimates.values().forEach(byEndpoint -> byEndpoint.keySet().retainAll(endpoints));
        estimates.values().removeIf(Map::isEmpty);
    }
}
