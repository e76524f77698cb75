package org.lavenderwick.daemon.session;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.dispatch.GroupOwners;
import org.lavenderwick.core.failover.PrimaryView;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

/**
 * What the control thread tells the traffic thread. Immutable.
 *
 * @param catalog the configuration in force, if one is known
 * @param endpoints all endpoints that may be used
 * @param primaries the primary of each group that the record of terms proves
 * @param peers all daemons, this one among them
 */
public record FleetView(
        Optional<Catalog> catalog,
        Map<EndpointName, EndpointEntry> endpoints,
        Map<GroupName, PrimaryView> primaries,
        Map<DaemonName, Peer> peers) {

    /** Connections of an endpoint that are left to failover orders and to daemons that are just starting. */
    static final int RESERVED_CONNECTIONS = 3;

    /** What a daemon knows at its start. */
    public static final FleetView EMPTY = new FleetView(Optional.empty(), Map.of(), Map.of(), Map.of());

    /** Copies the maps. */
    public FleetView {
        endpoints = ImmutableMap.copyOf(endpoints);
        primaries = ImmutableMap.copyOf(primaries);
        peers = ImmutableMap.copyOf(peers);
    }

    /** Returns the connections of an endpoint of a group that its owners share. */
    public int sharedConnections(GroupName group) {
        int most = catalog.map(known -> known.maxConnections().get(group)).orElse(RESERVED_CONNECTIONS + 1);
        return Math.max(1, most - RESERVED_CONNECTIONS);
    }

    /** Returns the daemons that hold connections to the endpoints of a group; empty while no daemon is known. */
    public List<DaemonName> owners(GroupName group) {
        int slots = endpoints.values().stream()
                .filter(entry -> entry.group().equals(group))
                .mapToInt(EndpointEntry::slots)
                .max()
                .orElse(1);
        int count = GroupOwners.count(peers.size(), slots, sharedConnections(group));
        return GroupOwners.choose(group, Maps.transformValues(peers, Peer::domain), count);
    }

    /** Returns whether a daemon holds connections to the endpoints of a group; so it does while none is known. */
    public boolean serves(DaemonName daemon, GroupName group) {
        List<DaemonName> owners = owners(group);
        return owners.isEmpty() || owners.contains(daemon);
    }

    /** Returns whether a daemon holds connections to the endpoints of any group of the configuration. */
    public boolean servesAny(DaemonName daemon) {
        return catalog.stream()
                .flatMap(known -> known.maxConnections().keySet().stream())
                .anyMatch(group -> serves(daemon, group));
    }
}
