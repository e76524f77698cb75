package org.lavenderwick.daemon.session;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.dispatch.GroupOwners;
import org.lavenderwick.core.failover.ProvenPrimary;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

/**
 * An immutable snapshot of the fleet, passed from the control thread to the traffic thread: the configuration, the
 * endpoints, the daemons, the owners of each group and the proven primaries. The proven primaries change several times
 * a second, the other parts rarely, so {@link #withProvenPrimaries} reuses the computed owners.
 */
public final class FleetSnapshot {

    /** Connections of an endpoint that are reserved for failover requests and for daemons that are starting. */
    static final int RESERVED_CONNECTIONS = 3;

    /** The snapshot of a daemon that has not read anything from the store yet. */
    public static final FleetSnapshot EMPTY = of(Optional.empty(), Map.of(), Map.of());

    private final Optional<Catalog> catalog;
    private final ImmutableMap<EndpointName, EndpointEntry> endpoints;
    private final ImmutableMap<DaemonName, Peer> peers;
    private final ImmutableMap<GroupName, List<DaemonName>> owners;
    private final ImmutableMap<GroupName, ProvenPrimary> provenPrimaries;

    private FleetSnapshot(
            Optional<Catalog> catalog,
            ImmutableMap<EndpointName, EndpointEntry> endpoints,
            ImmutableMap<DaemonName, Peer> peers,
            ImmutableMap<GroupName, List<DaemonName>> owners,
            ImmutableMap<GroupName, ProvenPrimary> provenPrimaries) {
        this.catalog = catalog;
        this.endpoints = endpoints;
        this.peers = peers;
        this.owners = owners;
        this.provenPrimaries = provenPrimaries;
    }

    /**
     * Returns a snapshot without proven primaries.
     *
     * @param catalog the active configuration; empty if none is known
     * @param endpoints all usable endpoints
     * @param peers all daemons, including this one
     */
    public static FleetSnapshot of(
            Optional<Catalog> catalog, Map<EndpointName, EndpointEntry> endpoints, Map<DaemonName, Peer> peers) {
        ImmutableMap.Builder<GroupName, List<DaemonName>> owners = ImmutableMap.builder();
        catalog.ifPresent(known -> known.maxConnections().keySet().forEach(group -> {
            int slots = endpoints.values().stream()
                    .filter(entry -> entry.group().equals(group))
                    .mapToInt(EndpointEntry::slots)
                    .max()
                    .orElse(1);
            int count = GroupOwners.count(peers.size(), slots, sharedConnections(catalog, group));
            owners.put(group, GroupOwners.select(group, Maps.transformValues(peers, Peer::failureDomain), count));
        }));
        return new FleetSnapshot(
                catalog,
                ImmutableMap.copyOf(endpoints),
                ImmutableMap.copyOf(peers),
                owners.buildOrThrow(),
                ImmutableMap.of());
    }

    /** Returns a copy of this snapshot with the given proven primaries. */
    public FleetSnapshot withProvenPrimaries(Map<GroupName, ProvenPrimary> proven) {
        return new FleetSnapshot(catalog, endpoints, peers, owners, ImmutableMap.copyOf(proven));
    }

    /**
     * Returns whether both snapshots stem from the same call of {@link #of}, so that they differ at most in the proven
     * primaries.
     */
    boolean hasSameLayoutAs(FleetSnapshot other) {
        return owners == other.owners;
    }

    /** Returns the active configuration; empty if none is known. */
    public Optional<Catalog> catalog() {
        return catalog;
    }

    /** Returns all usable endpoints. */
    public Map<EndpointName, EndpointEntry> endpoints() {
        return endpoints;
    }

    /** Returns all daemons, including this one. */
    public Map<DaemonName, Peer> peers() {
        return peers;
    }

    /** Returns the primary of each group whose primary is proven. */
    public Map<GroupName, ProvenPrimary> provenPrimaries() {
        return provenPrimaries;
    }

    /** Returns the number of connections per endpoint that the owners of a group share. */
    public int sharedConnections(GroupName group) {
        return sharedConnections(catalog, group);
    }

    private static int sharedConnections(Optional<Catalog> catalog, GroupName group) {
        int maxConnections =
                catalog.map(known -> known.maxConnections().get(group)).orElse(RESERVED_CONNECTIONS + 1);
        return Math.max(1, maxConnections - RESERVED_CONNECTIONS);
    }

    /**
     * Returns the owners of a group: the daemons that hold connections to its endpoints. Empty while no daemon is
     * known, and for a group that is not in the configuration.
     */
    public List<DaemonName> owners(GroupName group) {
        return owners.getOrDefault(group, List.of());
    }

    /** Returns whether a daemon owns any group. A group without known owners counts as owned by every daemon. */
    public boolean ownsAnyGroup(DaemonName daemon) {
        return owners.values().stream().anyMatch(names -> names.isEmpty() || names.contains(daemon));
    }
}
