package org.lavenderwick.core.configuration;

import java.time.Instant;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A period in which operators stop an endpoint. New work for it ends at the start.
 *
 * @param group the database group
 * @param endpoint the endpoint that stops
 * @param from start of the stop
 * @param until end of the stop, after the start
 */
public record PlannedStop(GroupName group, EndpointName endpoint, Instant from, Instant until) {

    /** Checks the order of the two times. */
    public PlannedStop {
        checkArgument(from.isBefore(until), "planned stop of %s ends before it starts", endpoint);
    }

    /** Returns whether the stop covers the given time. */
    public boolean covers(Instant time) {
        return !time.isBefore(from) && time.isBefore(until);
    }
}
