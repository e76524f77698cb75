package org.lavenderwick.daemon.session;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.dispatch.GroupOwners;
import org.lavenderwick.core.failover.ConfirmedMembers;
import org.lavenderwick.core.failover.ProvenPrimary;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;

/**
 * An immutable snapshot of the fleet, passed from the control thread to the traffic thread: the configuration, the
 * endpoints, the daemons, the owners of each group, the proven primaries and the failovers that wait. The proven
 * primaries change several times a second, the other parts rarely, so {@link #withEvidence} reuses the computed
 * owners, and {@link #update} reuses all that has not changed.
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
    private final ImmutableMap<GroupName, ConfirmedMembers> confirmedMembers;
    private final ImmutableSet<GroupName> waitingFailovers;

    private FleetSnapshot(
            Optional<Catalog> catalog,
            ImmutableMap<EndpointName, EndpointEntry> endpoints,
            ImmutableMap<DaemonName, Peer> peers,
            ImmutableMap<GroupName, List<DaemonName>> owners,
            ImmutableMap<GroupName, ProvenPrimary> provenPrimaries,
            ImmutableMap<GroupName, ConfirmedMembers> confirmedMembers,
            ImmutableSet<GroupName> waitingFailovers) {
        this.catalog = catalog;
        this.endpoints = endpoints;
        this.peers = peers;
        this.owners = owners;
        this.provenPrimaries = provenPrimaries;
        this.confirmedMembers = confirmedMembers;
        this.waitingFailovers = waitingFailovers;
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
        return new FleetSnapshot(
                catalog,
                ImmutableMap.copyOf(endpoints),
                ImmutableMap.copyOf(peers),
                selectOwners(catalog, endpoints, peers),
                ImmutableMap.of(),
                ImmutableMap.of(),
                ImmutableSet.of());
    }

    /**
     * Returns the given snapshot if it has the given content, and otherwise a new one that shares what is equal in
     * both. The owners are only selected anew if something they depend on has changed: a change of a route, or of an
     * endpoint that keeps its slots, leaves them as they are.
     */
    public static FleetSnapshot update(
            FleetSnapshot before,
            Optional<Catalog> catalog,
            Map<EndpointName, EndpointEntry> endpoints,
            Map<DaemonName, Peer> peers) {
        boolean samePeers = peers.equals(before.peers);
        boolean sameEndpoints = endpoints.equals(before.endpoints);
        if (samePeers && sameEndpoints && catalog.equals(before.catalog)) {
            return before;
        }
        boolean sameOwners = samePeers
                && catalog.map(Catalog::maxConnections).equals(before.catalog.map(Catalog::maxConnections))
                && areAccountsInForce(catalog) == areAccountsInForce(before.catalog)
                && (sameEndpoints || slotsByGroup(endpoints).equals(slotsByGroup(before.endpoints)));
        return new FleetSnapshot(
                catalog,
                sameEndpoints ? before.endpoints : ImmutableMap.copyOf(endpoints),
                samePeers ? before.peers : ImmutableMap.copyOf(peers),
                sameOwners ? before.owners : selectOwners(catalog, endpoints, peers),
                before.provenPrimaries,
                before.confirmedMembers,
                before.waitingFailovers);
    }

    /** Returns the slots of the endpoints of each group; the highest number, if they differ. */
    private static Map<GroupName, Integer> slotsByGroup(Map<EndpointName, EndpointEntry> endpoints) {
        Map<GroupName, Integer> slots = new HashMap<>();
        endpoints.values().forEach(entry -> slots.merge(entry.group(), entry.slots(), Math::max));
        return slots;
    }

    private static ImmutableMap<GroupName, List<DaemonName>> selectOwners(
            Optional<Catalog> catalog, Map<EndpointName, EndpointEntry> endpoints, Map<DaemonName, Peer> peers) {
        Map<GroupName, Integer> slots = slotsByGroup(endpoints);
        Map<DaemonName, FailureDomain> domains = ImmutableMap.copyOf(Maps.transformValues(peers, Peer::failureDomain));
        ImmutableMap.Builder<GroupName, List<DaemonName>> owners = ImmutableMap.builder();
        catalog.ifPresent(known -> known.maxConnections().keySet().forEach(group -> {
            int count = GroupOwners.count(
                    peers.size(),
                    slots.getOrDefault(group, 1),
                    sharedConnections(catalog, group),
                    areAccountsInForce(catalog));
            owners.put(group, GroupOwners.select(group, domains, count));
        }));
        return owners.buildOrThrow();
    }

    /** Returns a copy of this snapshot with the given proven primaries and the members that may prove others. */
    public FleetSnapshot withEvidence(
            Map<GroupName, ProvenPrimary> proven, Map<GroupName, ConfirmedMembers> confirmed) {
        return new FleetSnapshot(
                catalog,
                endpoints,
                peers,
                owners,
                ImmutableMap.copyOf(proven),
                ImmutableMap.copyOf(confirmed),
                waitingFailovers);
    }

    /** Returns whether this snapshot has the given proven primaries and members. */
    public boolean hasEvidence(Map<GroupName, ProvenPrimary> proven, Map<GroupName, ConfirmedMembers> confirmed) {
        return provenPrimaries.equals(proven) && confirmedMembers.equals(confirmed);
    }

    /** Returns a snapshot with the groups whose failover waits for endpoints; this one if they are the same. */
    public FleetSnapshot withWaitingFailovers(Set<GroupName> waiting) {
        return waiting.equals(waitingFailovers)
                ? this
                : new FleetSnapshot(
                        catalog,
                        endpoints,
                        peers,
                        owners,
                        provenPrimaries,
                        confirmedMembers,
                        ImmutableSet.copyOf(waiting));
    }

    /** Returns whether the failover of a group waits for endpoints, so that no primary can be expected. */
    boolean isFailoverWaiting(GroupName group) {
        return waitingFailovers.contains(group);
    }

    /** Returns whether both snapshots were made with the same endpoints, owners and limits of connections. */
    boolean hasSameLayoutAs(FleetSnapshot other) {
        // Equal limits are part of what lets snapshots share the same owners.
        return owners == other.owners && endpoints == other.endpoints;
    }

    /** Returns whether both snapshots share the same daemons. */
    public boolean hasSamePeersAs(FleetSnapshot other) {
        return peers == other.peers;
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

    /** Returns the members of each group whose reports may prove its primary. */
    public Map<GroupName, ConfirmedMembers> confirmedMembers() {
        return confirmedMembers;
    }

    /** Returns whether the configuration names client accounts, so that each connection belongs to one. */
    public boolean areAccountsInForce() {
        return areAccountsInForce(catalog);
    }

    private static boolean areAccountsInForce(Optional<Catalog> catalog) {
        return catalog.filter(known -> !known.accounts().isEmpty()).isPresent();
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
