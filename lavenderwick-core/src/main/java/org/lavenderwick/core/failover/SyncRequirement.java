package org.lavenderwick.core.failover;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import com.google.common.collect.ImmutableSet;
import org.lavenderwick.core.model.EndpointName;

/**
 * What a failover must know before it promotes an endpoint, so that no commit is lost that was acknowledged after a
 * number of replicas had received it. Immutable.
 *
 * <p>A replica that has promised receives no more of the log. While fewer replicas than that number are without a
 * promise, at least one of those with a promise has every acknowledged commit, and the one with the newest position has
 * all of them, since the log of a replica is a prefix of that of the primary.
 *
 * @param syncReplicas the number of replicas on which each acknowledged commit is; 0 if commits are acknowledged
 *     without waiting for replicas, and nothing is required then
 * @param holders the replicas that may hold acknowledged commits, in the incarnations in which they may hold them
 * @param oldPrimary the primary to replace; empty if it is unknown
 */
public record SyncRequirement(int syncReplicas, Set<EndpointIncarnation> holders, Optional<EndpointName> oldPrimary) {

    /** The requirement of a group with asynchronous replication. */
    public static final SyncRequirement NONE = new SyncRequirement(0, Set.of(), Optional.empty());

    /** Copies the set. */
    public SyncRequirement {
        holders = ImmutableSet.copyOf(holders);
    }

    /**
     * Returns the requirement for replacing a primary.
     *
     * @param syncReplicas how many replicas must receive a commit, at least 1
     * @param stored the stored membership; empty if there is none
     * @param directory the endpoints of the group now
     * @param term the term that ends
     * @param suspect the primary to replace according to the term record; empty if that names a candidate instead
     */
    static SyncRequirement of(
            int syncReplicas,
            Optional<SyncMembership> stored,
            GroupDirectory directory,
            long term,
            Optional<EndpointName> suspect) {
        Optional<EndpointName> oldPrimary =
                suspect.or(() -> stored.filter(found -> found.term() == term).map(SyncMembership::primary));
        Set<EndpointIncarnation> holders = new HashSet<>();
        directory.members().keySet().stream()
                .filter(directory::isRegistered)
                .forEach(name -> holders.add(directory.incarnation(name)));
        stored.ifPresent(found -> {
            holders.addAll(found.replicas());
            holders.add(directory.incarnation(found.primary()));
        });
        holders.removeIf(holder -> oldPrimary.equals(Optional.of(holder.name())));
        int lowest =
                stored.map(found -> Math.min(found.required(), syncReplicas)).orElse(syncReplicas);
        long endpoints =
                holders.stream().map(EndpointIncarnation::name).distinct().count();
        return new SyncRequirement((int) Math.max(1, Math.min(lowest, endpoints)), holders, oldPrimary);
    }

    /**
     * Returns a copy that has the holders of an earlier reading as well, because an endpoint may have left the
     * directory since then. If the configuration no longer asks for replicas, nothing is required.
     */
    SyncRequirement withHoldersOf(SyncRequirement earlier) {
        if (!isSynchronous()) {
            return this;
        }
        Set<EndpointIncarnation> union = new HashSet<>(holders);
        earlier.holders.stream()
                .filter(holder -> holders.stream().noneMatch(holder::equals))
                .forEach(union::add);
        return new SyncRequirement(Math.min(syncReplicas, earlier.syncReplicas), union, oldPrimary);
    }

    /** Returns whether commits are acknowledged only after replicas have received them. */
    boolean isSynchronous() {
        return syncReplicas > 0;
    }

    /** Returns the holders that none of the given incarnations matches. */
    Set<EndpointIncarnation> unheard(Collection<EndpointIncarnation> promised) {
        return holders.stream()
                .filter(holder -> promised.stream().noneMatch(holder::matches))
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns whether one of the given replicas has every acknowledged commit, provided that all have promised. */
    boolean isCoveredBy(Collection<EndpointIncarnation> promised) {
        return unheard(promised).size() < syncReplicas;
    }
}
