package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;

/**
 * Decides how one daemon maintains the {@link GroupMembership} of one group in the term record.
 *
 * <p>A registered endpoint joins under a new lease of the record, so that a daemon that does not know of it cannot
 * confirm its members once the earlier leases are revoked. It is established when the members that such a daemon
 * knew before have expired. A member that has left as announced is removed at once. One that was lost is kept for a
 * while, so that it can be promoted as soon as it is back. Confined to one thread.
 */
public final class GroupMembershipTracker {

    /** Time for which a member that is not registered is kept. */
    static final Duration RETENTION = Duration.ofSeconds(10);

    /** Time for which an earlier lease stays valid, in which the daemons learn of the new one. */
    static final Duration LEASE_OVERLAP = Duration.ofSeconds(1);

    /** Time between two changes, so that daemons with other views do not compete. */
    private static final Duration CHANGE_INTERVAL = Duration.ofMillis(300);

    /**
     * A change of the term record.
     *
     * @param membership the membership that the group gets
     * @param needsNewLease whether the record must be put under a new lease
     * @param revokesLeases whether the earlier leases that may still be valid are to be revoked before
     */
    public record Change(GroupMembership membership, boolean needsNewLease, boolean revokesLeases) {}

    private final GroupName group;
    private final FailoverTimings timings;
    private Map<EndpointName, Long> joining = Map.of();
    private final Map<EndpointName, Duration> joiningSince = new HashMap<>();
    private final Map<EndpointName, Duration> absentSince = new HashMap<>();
    private final Set<EndpointName> draining = new HashSet<>();
    private Set<Long> earlierLeases = Set.of();
    private Duration earlierLeasesSince = Duration.ZERO;
    private Duration dueSince;
    private Duration nextChangeAt = Duration.ZERO;

    private GroupMembershipTracker(GroupName group, FailoverTimings timings) {
        this.group = group;
        this.timings = timings;
    }

    /** Returns a tracker that has not seen its group. */
    public static GroupMembershipTracker create(GroupName group, FailoverTimings timings) {
        return new GroupMembershipTracker(group, timings);
    }

    /**
     * Returns the change to make now; empty if there is none.
     *
     * @param record the current term record, which contains the group
     * @param revision its revision in the store
     * @param directory what the daemon knows of the group
     * @param turn how long this daemon waits for those before it, each time there is something to change
     */
    public Optional<Change> next(
            TermRecord record, long revision, GroupDirectory directory, Duration turn, Duration now) {
        GroupTerm term = record.group(group).orElseThrow();
        GroupMembership membership = record.membership(group);
        observe(record, membership, directory, now);
        Optional<Change> change = changeOf(term, membership, revision, directory, now);
        if (change.isEmpty()) {
            dueSince = null;
            return change;
        }
        dueSince = dueSince == null ? now : dueSince;
        if (now.minus(dueSince).compareTo(turn) < 0 || now.compareTo(nextChangeAt) < 0) {
            return Optional.empty();
        }
        nextChangeAt = now.plus(CHANGE_INTERVAL);
        return change;
    }

    private void observe(TermRecord record, GroupMembership membership, GroupDirectory directory, Duration now) {
        if (!earlierLeases.equals(record.leasesToRevoke())) {
            earlierLeases = record.leasesToRevoke();
            earlierLeasesSince = now;
        }
        // An endpoint may have left and joined again since the record that this daemon knew last.
        joiningSince
                .keySet()
                .removeIf(name ->
                        !Objects.equals(joining.get(name), membership.joining().get(name)));
        joining = membership.joining();
        if (earlierLeases.isEmpty()) {
            joining.keySet().forEach(name -> joiningSince.putIfAbsent(name, now));
        }
        Set<EndpointName> members = membership.all();
        directory.members().forEach((name, entry) -> {
            if (entry.draining()) {
                draining.add(name);
            } else {
                draining.remove(name);
            }
        });
        draining.retainAll(members);
        Set<EndpointName> absent = Sets.difference(members, directory.members().keySet());
        absentSince.keySet().retainAll(absent);
        absent.forEach(name -> absentSince.putIfAbsent(name, now));
    }

    private Optional<Change> changeOf(
            GroupTerm term, GroupMembership membership, long revision, GroupDirectory directory, Duration now) {
        if (membership.isEmpty()) {
            // No daemon has evidence from the endpoints before the record names them.
            Set<EndpointName> members = Sets.union(directory.members().keySet(), Set.of(term.primary()));
            return Optional.of(new Change(GroupMembership.established(members), false, false));
        }
        Set<EndpointName> established = expired(joiningSince, timings.membershipExpiry(), now);
        GroupMembership changed = membership.withEstablished(established);
        boolean joins = false;
        if (term.phase() == TermPhase.OPEN) {
            changed = changed.without(removable(term, now));
            Set<EndpointName> joined = joinable(membership, directory);
            joins = !joined.isEmpty();
            changed = changed.withJoining(joined, revision);
        }
        boolean revokes = !earlierLeases.isEmpty()
                && term.phase() == TermPhase.OPEN
                && !joiningSince.keySet().containsAll(joining.keySet())
                && now.minus(earlierLeasesSince).compareTo(LEASE_OVERLAP) >= 0;
        return changed.equals(membership) && !revokes
                ? Optional.empty()
                : Optional.of(new Change(changed, joins, revokes));
    }

    private Set<EndpointName> joinable(GroupMembership membership, GroupDirectory directory) {
        return directory.members().entrySet().stream()
                .filter(entry -> directory.isRegistered(entry.getKey()))
                .filter(entry -> !entry.getValue().draining())
                .map(Map.Entry::getKey)
                .filter(name -> !membership.all().contains(name))
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the members to remove: those that have left as announced, and those that have been lost for long. */
    private Set<EndpointName> removable(GroupTerm term, Duration now) {
        Set<EndpointName> removable = new HashSet<>(expired(absentSince, RETENTION, now));
        removable.addAll(Sets.intersection(draining, absentSince.keySet()));
        removable.remove(term.primary());
        return removable;
    }

    private static Set<EndpointName> expired(Map<EndpointName, Duration> since, Duration limit, Duration now) {
        return since.entrySet().stream()
                .filter(entry -> now.minus(entry.getValue()).compareTo(limit) >= 0)
                .map(Map.Entry::getKey)
                .collect(ImmutableSet.toImmutableSet());
    }
}
