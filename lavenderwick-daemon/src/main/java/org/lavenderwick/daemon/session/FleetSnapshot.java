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
 * What the control thread tells the traffic thread. Immutable. The proofs of primaries change several times a second,
 * the rest seldom; {@link #withProvenPrimaries} keeps what was worked out from the rest.
 */
public final class FleetSnapshot {

    /** Connections of an endpoint that are left to failover orders and to daemons that are just starting. */
    static final int RESERVED_CONNECTIONS = 3;

    /** What a daemon knows at its start. */
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
            ImmutableMap<GroupName, ProvenPrimary> primaries) {
        this.catalog = catalog;
        this.endpoints = endpoints;
        this.peers = peers;
        this.owners = owners;
        this.provenPrimaries = primaries;
    }

    /**
     * Returns a view that knows no primary.
     *
     * @param catalog the configuration in force, if one is known
     * @param endpoints all endpoints that may be used
     * @param peers all daemons, the one that looks among them
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

    /** Returns a view with the same configuration, endpoints and daemons and other proofs of primaries. */
    public FleetSnapshot withProvenPrimaries(Map<GroupName, ProvenPrimary> proven) {
        return new FleetSnapshot(catalog, endpoints, peers, owners, ImmutableMap.copyOf(proven));
    }

    /** Returns whether another view differs in the proofs of primaries at most. */
    boolean hasSameLayoutAs(FleetSnapshot other) {
        return owners == other.owners;
    }

    /** Returns the configuration in force, if one is known. */
    public Optional<Catalog> catalog() {
        return catalog;
    }

    /** Returns all endpoints that may be used. */
    public Map<EndpointName, EndpointEntry> endpoints() {
        return endpoints;
    }

    /** Returns all daemons. */
    public Map<DaemonName, Peer> peers() {
        return peers;
    }

    /** Returns the primary of each group that the record of terms proves. */
    public Map<GroupName, ProvenPrimary> provenPrimaries() {
        return provenPrimaries;
    }

    /** Returns the connections of an endpoint of a group that its owners share. */
    public int sharedConnections(GroupName group) {
        return sharedConnections(catalog, group);
    }

    private static int sharedConnections(Optional<Catalog> catalog, GroupName group) {
        int most = catalog.map(known -> known.maxConnections().get(group)).orElse(RESERVED_CONNECTIONS + 1);
        return Math.max(1, most - RESERVED_CONNECTIONS);
    }

    /**
     * Returns the daemons that hold connections to the endpoints of a group; empty while no daemon is known, and for a
     * group that the configuration does not have.
     */
    public List<DaemonName> owners(GroupName group) {
        return owners.getOrDefault(group, List.of());
    }

    /** Returns whether a daemon holds connections to the endpoints of any group; so it does while none is known. */
    public boolean ownsAnyGroup(DaemonName daemon) {
        return owners.values().stream().anyMatch(names -> names.isEmpty() || names.contains(daemon));
    }
}
