package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.common.collect.ImmutableSet;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.model.EndpointName;

/**
 * Decides how one daemon maintains the {@link SyncMembership} of one group with synchronous replication. A replica is
 * added as soon as it is in the directory. One that has departed is removed only after a {@link ReplicationCheck}.
 * Confined to one thread.
 */
public final class SyncMembershipTracker {

    /** Time between two checks. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    /** Turns of an owner that pass before it checks a group; several, as a check takes longer than a write. */
    private static final int CHECK_TURNS = 10;

    /** Time between two attempts to write a membership, so that daemons with other views do not compete. */
    private static final Duration WRITE_INTERVAL = Duration.ofMillis(300);

    /**
     * Time for which the configured number of replicas must have been the same before it may raise the number that
     * failovers rely on. The endpoints learn of a change at their own pace.
     */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(15);

    /**
     * What is to be done now.
     *
     * @param write the membership to store in place of the one that was read
     * @param check the check to run; its result is reported to {@link #onChecked}
     */
    public record Actions(Optional<SyncMembership> write, Optional<ReplicationCheck> check) {}

    /**
     * The situation of a group with synchronous replication.
     *
     * @param stored the membership in the store; empty if there is none
     * @param term the open term of the group
     * @param directory what the daemon knows of the group
     * @param era the present era of the store
     * @param proven the proven primary with the newest evidence; empty if there is none
     */
    public record Situation(
            Optional<SyncMembership> stored,
            GroupTerm term,
            GroupDirectory directory,
            long era,
            Optional<ProvenPrimary> proven) {}

    private final Map<EndpointName, EndpointEntry> lastEntries = new HashMap<>();
    private Optional<SyncMembership> lastKnown = Optional.empty();
    private Optional<ReplicationCheck.Result> result = Optional.empty();
    private int syncReplicas;
    private Duration syncReplicasSince = Duration.ZERO;
    private Duration unwrittenSince;
    private Duration uncheckedSince;
    private Duration nextWriteAt = Duration.ZERO;
    private Duration nextCheckAt = Duration.ZERO;
    private boolean checking;

    private SyncMembershipTracker() {}

    /** Returns a tracker that knows nothing of its group. */
    public static SyncMembershipTracker create() {
        return new SyncMembershipTracker();
    }

    /** Reports the result of the check; empty if it has none. */
    public void onChecked(Optional<ReplicationCheck.Result> checked) {
        checking = false;
        result = checked;
    }

    /**
     * Returns what is to be done now.
     *
     * @param turn how long this daemon waits for those before it, each time there is something to do
     */
    public Actions next(Situation situation, Duration turn, Duration now) {
        GroupDirectory directory = situation.directory();
        lastEntries.putAll(directory.members());
        if (syncReplicas != directory.syncReplicas()) {
            syncReplicas = directory.syncReplicas();
            syncReplicasSince = now;
        }
        SyncMembership wanted = withoutRemovals(situation);
        lastKnown = Optional.of(wanted);
        Optional<ReplicationCheck> check = Optional.empty();
        int raisedTo = now.minus(syncReplicasSince).compareTo(SETTLING_TIME) > 0 ? syncReplicas : wanted.required();
        Set<EndpointIncarnation> departed = wanted.departed(directory);
        boolean canShrink = !departed.isEmpty() || wanted.required() < raisedTo;
        if (canShrink && situation.stored().equals(Optional.of(wanted))) {
            wanted = covered(wanted, departed, raisedTo, situation.proven());
            check = nextCheck(wanted, departed, directory, turn, now);
        } else {
            result = Optional.empty();
            uncheckedSince = null;
        }
        return new Actions(nextWrite(wanted, situation.stored(), turn, now), check);
    }

    /** Returns the membership as it should be stored before any replica is removed. */
    private SyncMembership withoutRemovals(Situation situation) {
        GroupDirectory directory = situation.directory();
        SyncMembership base = situation
                .stored()
                .or(() -> lastKnown)
                .orElseGet(() ->
                        SyncMembership.first(situation.era(), situation.term(), directory.syncReplicas(), directory));
        if (base.era() != situation.era() && lastKnown.isPresent()) {
            // The stored one is a copy that may lack replicas that were added after it was made.
            base = base.unionWith(lastKnown.get());
        }
        return base.updated(situation.era(), situation.term(), directory.syncReplicas(), directory);
    }

    /** Returns the membership without the replicas that the last check allows to remove. */
    private SyncMembership covered(
            SyncMembership membership,
            Set<EndpointIncarnation> departed,
            int raisedTo,
            Optional<ProvenPrimary> proven) {
        ReplicationCheck.Result checked =
                result.filter(found -> found.isFor(membership)).orElse(null);
        if (checked == null || proven.filter(checked::isProvenBy).isEmpty()) {
            return membership;
        }
        result = Optional.empty();
        Set<EndpointIncarnation> removable = new HashSet<>(departed);
        removable.retainAll(checked.gone());
        return membership.covered(removable, raisedTo, checked.complete());
    }

    private Optional<ReplicationCheck> nextCheck(
            SyncMembership membership,
            Set<EndpointIncarnation> departed,
            GroupDirectory directory,
            Duration turn,
            Duration now) {
        uncheckedSince = uncheckedSince == null ? now : uncheckedSince;
        boolean isTurn = now.minus(uncheckedSince).compareTo(turn.multipliedBy(CHECK_TURNS)) >= 0;
        if (checking || result.isPresent() || !isTurn || now.compareTo(nextCheckAt) < 0) {
            return Optional.empty();
        }
        nextCheckAt = now.plus(CHECK_INTERVAL);
        checking = true;
        Set<EndpointName> needed =
                membership.replicas().stream().map(EndpointIncarnation::name).collect(ImmutableSet.toImmutableSet());
        lastEntries.keySet().retainAll(needed);
        return Optional.of(new ReplicationCheck(membership, directory, departed, lastEntries, now));
    }

    private Optional<SyncMembership> nextWrite(
            SyncMembership wanted, Optional<SyncMembership> stored, Duration turn, Duration now) {
        if (stored.equals(Optional.of(wanted))) {
            unwrittenSince = null;
            return Optional.empty();
        }
        unwrittenSince = unwrittenSince == null ? now : unwrittenSince;
        if (now.minus(unwrittenSince).compareTo(turn) < 0 || now.compareTo(nextWriteAt) < 0) {
            return Optional.empty();
        }
        nextWriteAt = now.plus(WRITE_INTERVAL);
        return Optional.of(wanted);
    }
}
