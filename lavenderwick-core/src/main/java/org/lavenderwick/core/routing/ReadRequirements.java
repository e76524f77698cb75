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
 * What a read asks of the endpoint that answers it.
 *
 * @param minimumPoint newest write the session saw; empty for a read without a session
 * @param maximumStaleness age of data the caller accepts; empty if it stated none. A read with neither a session nor
 *     a staleness above zero runs at the primary
 * @param wallTime the time of the decision
 * @param termStarts where the recent terms began, oldest first
 */
public record ReadRequirements(
        Optional<LogPoint> minimumPoint,
        Optional<Duration> maximumStaleness,
        Instant wallTime,
        List<TermStart> termStarts) {

    /** Copies the list and checks the staleness. */
    public ReadRequirements {
        termStarts = ImmutableList.copyOf(termStarts);
        maximumStaleness.ifPresent(age -> checkArgument(!age.isNegative(), "staleness is negative: %s", age));
    }

    /** Returns whether only the primary can answer: no session, and no age of data accepted. */
    public boolean requiresPrimary() {
        return minimumPoint.isEmpty() && maximumStaleness.map(Duration::isZero).orElse(true);
    }
}
