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
 * Settings of a database group together with the position of one daemon among its owners.
 *
 * @param group settings of the group
 * @param service settings of its service
 * @param plannedStops planned stops of its endpoints
 * @param ownerCount number of owners of the group
 * @param position index of this owner among the owners; 0 for the lead owner
 */
public record GroupPlacement(
        GroupSettings group, ServiceSettings service, List<PlannedStop> plannedStops, int ownerCount, int position) {
    /** Creates a placement with a copy of the planned stops. */
    public GroupPlacement {
        plannedStops = ImmutableList.copyOf(plannedStops);
    }

    /** Returns the number of connections that this owner may open to an endpoint. */
    public int connectionShare(EndpointSettings endpoint) {
        return ConnectionShares.share(endpoint.connectionLimit(), ownerCount, position);
    }

    /** Returns whether a planned stop covers the endpoint at the given time. */
    public boolean isLeaving(EndpointName endpoint, Instant now) {
        return plannedStops.stream().anyMatch(stop -> stop.endpoint().equals(endpoint) && stop.covers(now));
    }
}
