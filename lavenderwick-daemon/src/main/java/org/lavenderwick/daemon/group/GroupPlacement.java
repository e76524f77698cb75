package org.lavenderwick.daemon.group;

import java.time.Instant;
import java.util.List;

import com.google.common.collect.ImmutableList;
import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.configuration.PlannedStop;
import org.lavenderwick.core.configuration.ServiceSettings;
import org.lavenderwick.core.connections.ConnectionShares;
import org.lavenderwick.core.model.EndpointName;

/**
 * A group as one of its owners sees it.
 *
 * @param group settings of the group
 * @param service settings of its service
 * @param plannedStops planned stops of its endpoints
 * @param owners number of owners
 * @param place place of this owner, 0 for the lead
 */
public record GroupPlacement(
        GroupSettings group, ServiceSettings service, List<PlannedStop> plannedStops, int ownerCount, int position) {
    /** Copies the list. */
    public GroupPlacement {
        plannedStops = ImmutableList.copyOf(plannedStops);
    }

    /** Returns how many connections this owner may open to an endpoint. */
    public int connectionShare(EndpointSettings endpoint) {
        return ConnectionShares.share(endpoint.connectionLimit(), ownerCount, position);
    }

    /** Returns whether a planned stop covers the endpoint at the given time. */
    public boolean isLeaving(EndpointName endpoint, Instant now) {
        return plannedStops.stream().anyMatch(stop -> stop.endpoint().equals(endpoint) && stop.covers(now));
    }
}
