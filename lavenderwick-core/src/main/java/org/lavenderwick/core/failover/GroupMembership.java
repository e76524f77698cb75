package org.lavenderwick.core.failover;

import java.util.Collection;
import java.util.Set;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import org.lavenderwick.core.model.EndpointName;

/**
 * The endpoints of a group that count for {@link UnanimousEvidence}, as the term record names them. A daemon without
 * access to the store proves a primary by the reports of all members that it knows, so a failover may only promote an
 * endpoint that every daemon in this situation knows. Immutable.
 *
 * @param established the members that every daemon with valid evidence knows; a failover may promote them
 * @param joining the members that were added so recently that a daemon which lost the store before may not know them
 */
public record GroupMembership(Set<EndpointName> established, Set<EndpointName> joining) {

    /** A membership without members. */
    public static final GroupMembership EMPTY = new GroupMembership(Set.of(), Set.of());

    /** Copies the sets; a member that is in both counts as established. */
    public GroupMembership {
        established = ImmutableSet.copyOf(established);
        joining = Sets.difference(joining, established).immutableCopy();
    }

    /** Returns the membership of a group that no daemon has known before, so that all its members are established. */
    public static GroupMembership established(Collection<EndpointName> members) {
        return new GroupMembership(ImmutableSet.copyOf(members), Set.of());
    }

    /** Returns all members. */
    public Set<EndpointName> all() {
        return Sets.union(established, joining).immutableCopy();
    }

    /** Returns whether there are no members, which is the case in records of daemons of earlier versions. */
    public boolean isEmpty() {
        return established.isEmpty() && joining.isEmpty();
    }

    /** Returns a copy to which the given endpoints are added as joining, unless they are members. */
    public GroupMembership withJoining(Collection<EndpointName> endpoints) {
        return new GroupMembership(established, Sets.union(joining, ImmutableSet.copyOf(endpoints)));
    }

    /** Returns a copy in which the given joining members are established. */
    public GroupMembership withEstablished(Collection<EndpointName> members) {
        Set<EndpointName> added = Sets.intersection(joining, ImmutableSet.copyOf(members));
        return new GroupMembership(Sets.union(established, added), joining);
    }

    /** Returns a copy without the given members. */
    public GroupMembership without(Collection<EndpointName> members) {
        Set<EndpointName> removed = ImmutableSet.copyOf(members);
        return new GroupMembership(Sets.difference(established, removed), Sets.difference(joining, removed));
    }
}
