package org.lavenderwick.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.lavenderwick.core.model.LogPoint;

/**
 * Whether a replica is known to be fresh enough for a read. This is an estimate from the replica's last response; the
 * endpoint checks the requirement again when it executes the read.
 */
enum Freshness {
    /** The last response was not fresh enough, and the replica is not expected to have caught up. */
    STALE,
    /** Fresh enough if the replication lag has not grown since the last response. */
    LIKELY,
    /** The last response was fresh enough. */
    CONFIRMED;

    /** Maximum difference between the wall clocks of hosts. Added to every computed age. */
    static final Duration CLOCK_TOLERANCE = Duration.ofMillis(50);

    /**
     * Returns the freshness of a replica for a read.
     *
     * @param primary the primary, if known; it shows by when the last write of the session was committed
     */
    static Freshness of(EndpointSnapshot replica, ReadRequirements requirements, Optional<EndpointSnapshot> primary) {
        if (!TermHistory.isRetained(replica.logPoint(), requirements.termStarts())) {
            // The replica is a former primary and holds writes that a later term discarded.
            return STALE;
        }
        Freshness byPoint = requirements
                .minimumPoint()
                .map(point -> byPoint(replica, point, requirements.wallTime(), primary))
                .orElse(CONFIRMED);
        Freshness byAge = requirements
                .maximumStaleness()
                .filter(maximum -> !maximum.isZero())
                .map(maximum -> byAge(replica, maximum, requirements.wallTime()))
                .orElse(CONFIRMED);
        return byPoint.compareTo(byAge) < 0 ? byPoint : byAge;
    }

    private static Freshness byAge(EndpointSnapshot replica, Duration maximum, Instant now) {
        Duration age = Duration.between(replica.pointTime(), now).plus(CLOCK_TOLERANCE);
        if (age.compareTo(maximum) <= 0) {
            return CONFIRMED;
        }
        return replica.lag().plus(CLOCK_TOLERANCE).compareTo(maximum) <= 0 ? LIKELY : STALE;
    }

    private static Freshness byPoint(
            EndpointSnapshot replica, LogPoint point, Instant now, Optional<EndpointSnapshot> primary) {
        if (TermHistory.covers(replica.logPoint(), point)) {
            return CONFIRMED;
        }
        Instant replicatedUpTo = now.minus(replica.lag()).minus(CLOCK_TOLERANCE);
        boolean likely = primary.filter(view -> TermHistory.covers(view.logPoint(), point))
                .filter(view -> !view.pointTime().isAfter(replicatedUpTo))
                .isPresent();
        return likely ? LIKELY : STALE;
    }
}
