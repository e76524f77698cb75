package org.lavenderwick.core.balancing;

import java.time.Duration;
import java.util.Collection;
import java.util.Optional;

/**
 * The comparison of one endpoint with the others of its group. An endpoint is an outlier only if there is a minimum of
 * evidence and the others do clearly better: a statement that fails everywhere, or load that slows all endpoints, is
 * the fault of none of them.
 */
final class OutlierDetector {

    private static final double MIN_COMPLETED = 4;
    private static final double MIN_UNSUCCESSFUL = 2.5;
    private static final double MIN_FAILURE_SHARE = 0.2;
    private static final double FAILURE_SHARE_FACTOR = 3;

    private static final double MIN_DELAY_SAMPLES = 4;

    /**
     * Delay that marks an endpoint as slow if the others are clearly faster. Endpoints reject statements beyond about
     * twice their slots, so load alone causes a delay of up to 3.
     */
    static final double SLOW_DELAY = 3;

    private static final double DELAY_FACTOR = 2;

    /** Time without a response after which statements count as unanswered, and multiple of the mean work. */
    private static final Duration MIN_UNANSWERED_TIME = Duration.ofMillis(250);

    private static final double UNANSWERED_WORK_FACTOR = 8;

    private OutlierDetector() {}

    /**
     * Returns why an endpoint is an outlier; empty if it is not.
     *
     * @param others the qualities of the other endpoints of the group
     * @param meanWorkNanos mean service time of the group's statements
     */
    static Optional<EjectionCause> check(
            EndpointQuality quality, Collection<EndpointQuality> others, double meanWorkNanos, Duration now) {
        if (isHanging(quality, meanWorkNanos, now)) {
            return Optional.of(EjectionCause.HANGING);
        }
        if (isFailing(quality, others, now)) {
            return Optional.of(EjectionCause.FAILING);
        }
        return isSlow(quality, others, now) ? Optional.of(EjectionCause.SLOW) : Optional.empty();
    }

    private static boolean isHanging(EndpointQuality quality, double meanWorkNanos, Duration now) {
        Duration limit = Duration.ofNanos(
                (long) Math.max(MIN_UNANSWERED_TIME.toNanos(), UNANSWERED_WORK_FACTOR * meanWorkNanos));
        // A single statement may take long by itself, so it counts only after twice the time.
        return quality.unanswered(limit, now) >= 2 || quality.unanswered(limit.multipliedBy(2), now) >= 1;
    }

    private static boolean isFailing(EndpointQuality quality, Collection<EndpointQuality> others, Duration now) {
        double completed = quality.completed(now);
        double unsuccessful = quality.unsuccessful(now);
        double share = unsuccessful / Math.max(1, completed);
        double otherCompleted = 0;
        double otherUnsuccessful = 0;
        for (EndpointQuality other : others) {
            otherCompleted += other.completed(now);
            otherUnsuccessful += other.unsuccessful(now);
        }
        return completed >= MIN_COMPLETED
                && unsuccessful >= MIN_UNSUCCESSFUL
                && share > MIN_FAILURE_SHARE
                && share > FAILURE_SHARE_FACTOR * otherUnsuccessful / Math.max(1, otherCompleted);
    }

    private static boolean isSlow(EndpointQuality quality, Collection<EndpointQuality> others, Duration now) {
        double delay = quality.delay(MIN_DELAY_SAMPLES, now);
        double lowest = others.stream()
                .mapToDouble(other -> other.delay(MIN_DELAY_SAMPLES, now))
                .min()
                .orElse(delay);
        return delay > SLOW_DELAY && delay > DELAY_FACTOR * lowest;
    }
}
