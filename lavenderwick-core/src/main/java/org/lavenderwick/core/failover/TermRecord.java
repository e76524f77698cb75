package org.lavenderwick.core.failover;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import org.lavenderwick.core.model.GroupName;

/**
 * The current terms of all groups, kept in one store entry. The lease protects the record: it is revoked before any
 * open term is replaced, so its successful renewal proves that the record is current.
 *
 * @param lease the ID of the lease
 * @param leasesToRevoke IDs of earlier leases that may still be valid; a term may be replaced only after all of them
 *     are revoked
 * @param groups the term of each group
 */
public record TermRecord(long lease, Set<Long> leasesToRevoke, Map<GroupName, GroupTerm> groups) {

    /** Store key of the record. */
    public static final String KEY = "terms";

    /** An empty record; used if the store has no entry yet. */
    public static final TermRecord EMPTY = new TermRecord(0, Set.of(), Map.of());

    /** Copies the collections. */
    public TermRecord {
        leasesToRevoke = ImmutableSet.copyOf(leasesToRevoke);
        groups = ImmutableMap.copyOf(groups);
    }

    /** Returns the term of a group; empty if the record does not contain the group. */
    public Optional<GroupTerm> group(GroupName name) {
        return Optional.ofNullable(groups.get(name));
    }

    /** Returns a copy of this record with the given term of a group. */
    public TermRecord with(GroupName name, GroupTerm term) {
        Map<GroupName, GroupTerm> copy = new HashMap<>(groups);
        copy.put(name, term);
        return new TermRecord(lease, leasesToRevoke, copy);
    }

    /** Returns a copy of this record under a new lease, with the current lease among the ones to revoke. */
    public TermRecord withLease(long newLease) {
        return new TermRecord(newLease, Sets.union(leasesToRevoke, Set.of(lease)), groups);
    }

    /** Returns a copy of this record under a new lease, for use when the current lease has expired. */
    public TermRecord replacingExpiredLease(long newLease) {
        return new TermRecord(newLease, leasesToRevoke, groups);
    }

    /** Returns a copy of this record without the given leases among the ones to revoke. */
    public TermRecord withoutRevokedLeases(Set<Long> revoked) {
        return new TermRecord(lease, Sets.difference(leasesToRevoke, revoked), groups);
    }
}
