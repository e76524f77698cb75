package org.lavenderwick.core.failover;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.EraRevision;

/**
 * The current terms of all groups, kept in one store entry. The lease protects the record: it is revoked before any
 * open term is replaced, so its successful renewal proves that the record is current.
 *
 * <p>A record counts only in the era of the store in which it was written. In a later one it may be an older copy.
 *
 * @param era the era of the store in which the record was written
 * @param lease the ID of the lease; 0 if there is none yet
 * @param leasesToRevoke IDs of earlier leases that may still be valid; a term may be replaced only after all of them
 *     are revoked
 * @param groups the term of each group
 * @param memberships the members of each group; a group that a daemon of an earlier version added has none
 */
public record TermRecord(
        long era,
        long lease,
        Set<Long> leasesToRevoke,
        Map<GroupName, GroupTerm> groups,
        Map<GroupName, GroupMembership> memberships) {

    /** Store key of the record. */
    public static final String KEY = "terms";

    /** An empty record; used if the store has no entry yet. */
    public static final TermRecord EMPTY = empty(EraRevision.FIRST_ERA);

    /** Copies the collections. */
    public TermRecord {
        leasesToRevoke = ImmutableSet.copyOf(leasesToRevoke);
        groups = ImmutableMap.copyOf(groups);
        memberships = ImmutableMap.copyOf(memberships);
    }

    /** Creates a record without members. */
    public TermRecord(long era, long lease, Set<Long> leasesToRevoke, Map<GroupName, GroupTerm> groups) {
        this(era, lease, leasesToRevoke, groups, Map.of());
    }

    /** Returns an empty record for the given era. */
    public static TermRecord empty(long era) {
        return new TermRecord(era, 0, Set.of(), Map.of());
    }

    /** Returns whether a lease is that of this record. IDs of leases may be given out again in a later era. */
    public boolean hasLease(long leaseEra, long id) {
        return leaseEra == era && id == lease;
    }

    /** Returns the term of a group; empty if the record does not contain the group. */
    public Optional<GroupTerm> group(GroupName name) {
        return Optional.ofNullable(groups.get(name));
    }

    /** Returns the membership of a group; an empty one if none is recorded. */
    public GroupMembership membership(GroupName name) {
        return memberships.getOrDefault(name, GroupMembership.EMPTY);
    }

    /** Returns a copy of this record with the given term of a group, whose primary becomes a member. */
    public TermRecord with(GroupName name, GroupTerm term) {
        Map<GroupName, GroupTerm> copy = new HashMap<>(groups);
        copy.put(name, term);
        TermRecord changed = new TermRecord(era, lease, leasesToRevoke, copy, memberships);
        GroupMembership membership = membership(name);
        return membership.isEmpty()
                ? changed
                : changed.withMembership(name, membership.withJoining(Set.of(term.primary()), term.fencingToken()));
    }

    /**
     * Returns a copy of this record with a group that it does not contain.
     *
     * @param known the last membership of the group in earlier eras; an empty one if none is known
     * @param registered the endpoints of the group that are registered; they are joining unless no membership is known,
     *     because then no daemon has evidence by other ones
     */
    public TermRecord adding(GroupName name, GroupTerm term, GroupMembership known, Set<EndpointName> registered) {
        Set<EndpointName> endpoints = Sets.union(registered, Set.of(term.primary()));
        GroupMembership membership = known.isEmpty()
                ? GroupMembership.established(endpoints)
                : known.withJoining(endpoints, term.fencingToken());
        return withMembership(name, membership).with(name, term);
    }

    /** Returns a copy of this record with the given membership of a group. */
    public TermRecord withMembership(GroupName name, GroupMembership membership) {
        Map<GroupName, GroupMembership> copy = new HashMap<>(memberships);
        copy.put(name, membership);
        return new TermRecord(era, lease, leasesToRevoke, groups, copy);
    }

    /** Returns a copy of this record under a new lease, with the current lease among the ones to revoke. */
    public TermRecord withLease(long newLease) {
        return new TermRecord(era, newLease, Sets.union(leasesToRevoke, Set.of(lease)), groups, memberships);
    }

    /** Returns a copy of this record under a new lease, for use when the current lease has expired. */
    public TermRecord replacingExpiredLease(long newLease) {
        return new TermRecord(era, newLease, leasesToRevoke, groups, memberships);
    }

    /** Returns a copy of this record without the given leases among the ones to revoke. */
    public TermRecord withoutRevokedLeases(Set<Long> revoked) {
        return new TermRecord(era, lease, Sets.difference(leasesToRevoke, revoked), groups, memberships);
    }
}
