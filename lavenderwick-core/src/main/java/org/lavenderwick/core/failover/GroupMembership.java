package org.lavenderwick.core.failover;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import com.google.common.collect.Sets;
import org.lavenderwick.core.model.EndpointName;

/**
 * The endpoints of a group that count for {@link UnanimousEvidence}, as the term record names them. A daemon without
 * access to the store proves a primary by the reports of all members that it knows, so a failover may only promote an
 * endpoint that every daemon in this situation knows. Immutable.
 *
 * @param established the members that every daemon with valid evidence knows; a failover may promote them
 * @param joining the members that were added so recently that a daemon which lost the store before may not know them,
 *     each with a number that tells this joining from every other one of the same endpoint
 */
public record GroupMembership(Set<EndpointName> established, Map<EndpointName, Long> joining) {

    /** A membership without members. */
    public static final GroupMembership EMPTY = new GroupMembership(Set.of(), Map.of());

    /** Copies the collections; a member that is in both counts as established. */
    public GroupMembership {
        Set<EndpointName> names = ImmutableSet.copyOf(established);
        established = names;
        joining = ImmutableMap.copyOf(Maps.filterKeys(joining, name -> !names.contains(name)));
    }

    /** Returns the membership of a group that no daemon has known before, so that all its members are established. */
    public static GroupMembership established(Collection<EndpointName> members) {
        return new GroupMembership(ImmutableSet.copyOf(members), Map.of());
    }

    /** Returns all members. */
    public Set<EndpointName> all() {
        return Sets.union(established, joining.keySet()).immutableCopy();
    }

    /** Returns whether there are no members, which is the case in records of daemons of earlier versions. */
    public boolean isEmpty() {
        return established.isEmpty() && joining.isEmpty();
    }

    /**
     * Returns a copy to which the given endpoints are added as joining, unless they are members.
     *
     * @param number a number under which none of them has joined before; those of the store's revisions grow
     */
    public GroupMembership withJoining(Collection<EndpointName> endpoints, long number) {
        Map<EndpointName, Long> extended = new HashMap<>(joining);
        endpoints.forEach(name -> extended.putIfAbsent(name, number));
        return new GroupMembership(established, extended);
    }

    /** Returns a copy in which the given joining members are established. */
    public GroupMembership withEstablished(Collection<EndpointName> members) {
        Set<EndpointName> added = Sets.intersection(joining.keySet(), ImmutableSet.copyOf(members));
        return new GroupMembership(Sets.union(established, added), joining);
    }

    /** Returns a copy without the given members. */
    public GroupMembership without(Collection<EndpointName> members) {
        Set<EndpointName> removed = ImmutableSet.copyOf(members);
        return new GroupMembership(
                Sets.difference(established, removed), Maps.filterKeys(joining, name -> !removed.contains(name)));
    }
}
