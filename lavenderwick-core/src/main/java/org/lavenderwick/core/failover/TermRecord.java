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
 * The terms of all groups, as one entry of the store. The lease stands for the statement that the record is current:
 * it is ended before any open term is replaced, so a successful renewal proves that the record still holds.
 *
 * @param lease the number of the lease
 * @param leasesToRevoke earlier leases that may not have ended yet; a term may be replaced only after all of them
 * @param groups the term of each group
 */
public record TermRecord(long lease, Set<Long> leasesToRevoke, Map<GroupName, GroupTerm> groups) {

    /** Key of the entry that holds the record. */
    public static final String KEY = "terms";

    /** The record before the first one. */
    public static final TermRecord EMPTY = new TermRecord(0, Set.of(), Map.of());

    /** Copies the collections. */
    public TermRecord {
        leasesToRevoke = ImmutableSet.copyOf(leasesToRevoke);
        groups = ImmutableMap.copyOf(groups);
    }

    /** Returns the term of a group. */
    public Optional<GroupTerm> group(GroupName name) {
        return Optional.ofNullable(groups.get(name));
    }

    /** Returns a record with the term of one group replaced. */
    public TermRecord with(GroupName name, GroupTerm term) {
        Map<GroupName, GroupTerm> copy = new HashMap<>(groups);
        copy.put(name, term);
        return new TermRecord(lease, leasesToRevoke, copy);
    }

    /** Returns a record under another lease; the one before is still to be ended. */
    public TermRecord withLease(long newLease) {
        return new TermRecord(newLease, Sets.union(leasesToRevoke, Set.of(lease)), groups);
    }

    /** Returns a record under another lease, where the one before is known to have ended. */
    public TermRecord replacingExpiredLease(long newLease) {
        return new TermRecord(newLease, leasesToRevoke, groups);
    }

    /** Returns a record without the leases that have ended. */
    public TermRecord withoutRevokedLeases(Set<Long> ended) {
        return new TermRecord(lease, Sets.difference(leasesToRevoke, ended), groups);
    }
}
