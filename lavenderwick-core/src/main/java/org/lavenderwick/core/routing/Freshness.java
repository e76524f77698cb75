package org.lavenderwick.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import org.lavenderwick.core.model.LogPoint;

/** How surely an endpoint is fresh enough for a read. The endpoint itself checks again when the read runs. */
enum Freshness {
    /** Its last answer was too old and nothing suggests that it caught up. */
    STALE,
    /** It is fresh enough if it is no further behind than at its last answer. */
    LIKELY,
    /** Its last answer was fresh enough. */
    CONFIRMED;

    /** Clocks of hosts agree within this bound, which is added to every age. */
    static final Duration CLOCK_TOLERANCE = Duration.ofMillis(50);

    /** Returns the freshness of a replica for a read; the primary tells when the write of the session was made. */
    static Freshness of(EndpointSnapshot replica, ReadRequirements needs, Optional<EndpointSnapshot> primary) {
        if (!TermHistory.isRetained(replica.logPoint(), needs.termStarts())) {
            // A former primary with writes that the later terms dropped.
            return STALE;
        }
        Freshness byPoint = needs.minimumPoint()
                .map(point -> byPoint(replica, point, needs.wallTime(), primary))
                .orElse(CONFIRMED);
        Freshness byAge = needs.maximumStaleness()
                .filter(age -> !age.isZero())
                .map(age -> byAge(replica, age, needs.wallTime()))
                .orElse(CONFIRMED);
        return byPoint.compareTo(byAge) < 0 ? byPoint : byAge;
    }

    private static Freshness byAge(EndpointSnapshot replica, Duration maximum, Instant now) {
        Duration known = Duration.between(replica.pointTime(), now).plus(CLOCK_TOLERANCE);
        if (known.compareTo(maximum) <= 0) {
            return CONFIRMED;
        }
        return replica.lag().plus(CLOCK_TOLERANCE).compareTo(maximum) <= 0 ? LIKELY : STALE;
    }

    private static Freshness byPoint(
            EndpointSnapshot replica, LogPoint point, Instant now, Optional<EndpointSnapshot> primary) {
        if (TermHistory.covers(replica.logPoint(), point)) {
            return CONFIRMED;
        }
        Instant expected = now.minus(replica.lag()).minus(CLOCK_TOLERANCE);
        boolean likely = primary.filter(view -> TermHistory.covers(view.logPoint(), point))
                .filter(view -> !view.pointTime().isAfter(expected))
                .isPresent();
        return likely ? LIKELY : STALE;
    }
}
