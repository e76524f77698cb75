package org.lavenderwick.core.failover;

import java.util.HashSet;
import java.util.Set;

import com.google.common.collect.ImmutableSet;
import org.lavenderwick.core.model.EndpointName;

/**
 * The replicas of a group with synchronous replication whose copy of the log may be the only one, beside that of the
 * primary, with some acknowledged commit. It is stored, because a replica that has left the directory or has restarted
 * is still missing from the proof that a candidate has every acknowledged commit.
 *
 * <p>Each acknowledged commit is in the logs of at least {@link #required} of these replicas. This holds because every
 * replica in the directory is added, and a replica is only removed once enough others have everything it can have
 * acknowledged; see {@link #covered}. Immutable.
 *
 * @param era the era of the store in which this was written
 * @param term the term that it describes
 * @param primary the primary of that term
 * @param required the lowest number of replicas on which a commit was acknowledged that is not known to be on more; at
 *     least 1
 * @param replicas the replicas
 */
public record SyncMembership(
        long era, long term, EndpointName primary, int required, Set<EndpointIncarnation> replicas) {

    /** Copies the set. */
    public SyncMembership {
        replicas = ImmutableSet.copyOf(replicas);
    }

    /**
     * Returns the membership of a term about which nothing is stored.
     *
     * @param syncReplicas how many replicas must receive a commit, at least 1
     */
    public static SyncMembership first(long era, GroupTerm open, int syncReplicas, GroupDirectory directory) {
        return new SyncMembership(
                era, open.term(), open.primary(), syncReplicas, directory.incarnationsExcept(open.primary()));
    }

    /**
     * Returns the membership after the given changes. In a later term the former primary is a replica. It comes back
     * from a crash with its log, so it counts in the incarnation in which the directory first shows it.
     *
     * @param currentEra the present era of the store
     * @param open the open term of the group
     * @param syncReplicas how many replicas must receive a commit now, at least 1
     */
    public SyncMembership updated(long currentEra, GroupTerm open, int syncReplicas, GroupDirectory directory) {
        Set<EndpointIncarnation> updated = new HashSet<>(replicas);
        if (term != open.term()) {
            updated.add(new EndpointIncarnation(primary, EndpointIncarnation.ANY_START));
        }
        updated.addAll(directory.incarnationsExcept(open.primary()));
        updated.removeIf(replica -> replica.name().equals(open.primary())
                || (replica.startedAt() == EndpointIncarnation.ANY_START
                        && directory.startTimes().containsKey(replica.name())));
        return new SyncMembership(currentEra, open.term(), open.primary(), Math.min(required, syncReplicas), updated);
    }

    /** Returns a copy that also has the replicas of another membership, for when the newest one was lost. */
    public SyncMembership unionWith(SyncMembership other) {
        Set<EndpointIncarnation> union = new HashSet<>(replicas);
        union.addAll(other.replicas);
        if (other.term != term) {
            union.add(new EndpointIncarnation(other.primary, EndpointIncarnation.ANY_START));
        }
        union.removeIf(replica -> replica.name().equals(primary));
        return new SyncMembership(era, term, primary, Math.min(required, other.required), union);
    }

    /** Returns the replicas that are not in the directory, or only in a later incarnation. */
    public Set<EndpointIncarnation> departed(GroupDirectory directory) {
        return replicas.stream()
                .filter(replica -> !directory.isRegistered(replica.name())
                        || !directory.incarnation(replica.name()).matches(replica))
                .collect(ImmutableSet.toImmutableSet());
    }

    /**
     * Returns the membership once it is known that enough of the replicas that remain have every commit acknowledged up
     * to a moment after the others departed. What is acknowledged later is on the remaining ones.
     *
     * @param departed the replicas to remove
     * @param syncReplicas how many replicas must receive a commit now
     * @param complete the remaining replicas that have all those commits
     * @return this membership if they are too few
     */
    public SyncMembership covered(
            Set<EndpointIncarnation> departed, int syncReplicas, Set<EndpointIncarnation> complete) {
        Set<EndpointIncarnation> remaining =
                replicas.stream().filter(replica -> !departed.contains(replica)).collect(ImmutableSet.toImmutableSet());
        long count = complete.stream().filter(remaining::contains).count();
        if (count < required) {
            return this;
        }
        int raised = count >= syncReplicas ? syncReplicas : required;
        return new SyncMembership(era, term, primary, raised, remaining);
    }
}
