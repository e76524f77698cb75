package org.lavenderwick.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import com.google.common.collect.ImmutableList;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.promotion.TermStart;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Freshness that a read requires of the endpoint that serves it.
 *
 * <p>A read that has neither a minimum log point nor a maximum staleness above zero is served by the primary only.
 *
 * @param minimumPoint log position of the latest write that the session has seen; empty for a read without a session
 * @param maximumStaleness maximum age of the data; empty if the caller set no limit
 * @param wallTime wall-clock time of the routing decision
 * @param termStarts start positions of the most recent terms, oldest first
 */
public record ReadRequirements(
        Optional<LogPoint> minimumPoint,
        Optional<Duration> maximumStaleness,
        Instant wallTime,
        List<TermStart> termStarts) {

    /** Copies the list and checks that the staleness is not negative. */
    public ReadRequirements {
        termStarts = ImmutableList.copyOf(termStarts);
        maximumStaleness.ifPresent(age -> checkArgument(!age.isNegative(), "maximum staleness is negative: %s", age));
    }

    /** Returns whether only the primary may serve the read. */
    public boolean requiresPrimary() {
        return minimumPoint.isEmpty() && maximumStaleness.map(Duration::isZero).orElse(true);
    }
}
