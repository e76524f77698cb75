package org.lavenderwick.daemon.session;

import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableMap;
import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.failover.PrimaryView;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

/**
 * What the control thread tells the traffic thread. Immutable.
 *
 * @param catalog the configuration in force, if one is known
 * @param endpoints all endpoints that may be used
 * @param primaries the primary of each group that the record of terms proves
 * @param daemons daemons that share the connections of each endpoint
 */
public record FleetView(
        Optional<Catalog> catalog,
        Map<EndpointName, EndpointEntry> endpoints,
        Map<GroupName, PrimaryView> primaries,
        int daemons) {

    /** What a daemon knows at its start. */
    public static final FleetView EMPTY = new FleetView(Optional.empty(), Map.of(), Map.of(), 1);

    /** Copies the maps. */
    public FleetView {
        endpoints = ImmutableMap.copyOf(endpoints);
        primaries = ImmutableMap.copyOf(primaries);
    }
}
