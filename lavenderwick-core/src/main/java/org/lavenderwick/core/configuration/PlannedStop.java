package org.lavenderwick.core.configuration;

import java.time.Instant;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A period in which operators plan to stop an endpoint. The endpoint receives no new work from the start of the period.
 *
 * @param group the database group
 * @param endpoint the endpoint to be stopped
 * @param from start of the period, inclusive
 * @param until end of the period, exclusive; later than {@code from}
 */
public record PlannedStop(GroupName group, EndpointName endpoint, Instant from, Instant until) {

    /** Validates the order of the two times. */
    public PlannedStop {
        checkArgument(from.isBefore(until), "planned stop of endpoint %s does not end after its start", endpoint);
    }

    /** Returns whether the given time is within the period. */
    public boolean covers(Instant time) {
        return !time.isBefore(from) && time.isBefore(until);
    }
}
