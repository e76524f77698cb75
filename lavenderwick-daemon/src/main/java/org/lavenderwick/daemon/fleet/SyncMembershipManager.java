package org.lavenderwick.daemon.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;

import org.jboss.logging.Logger;
import org.lavenderwick.adapters.session.EndpointCodec;
import org.lavenderwick.core.failover.GroupDirectory;
import org.lavenderwick.core.failover.GroupTerm;
import org.lavenderwick.core.failover.LeaseEvidence;
import org.lavenderwick.core.failover.ReplicationCheck;
import org.lavenderwick.core.failover.SyncMembership;
import org.lavenderwick.core.failover.SyncMembershipCodec;
import org.lavenderwick.core.failover.SyncMembershipTracker;
import org.lavenderwick.core.failover.TermPhase;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.FleetStore;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.core.store.StoreWrite;
import org.lavenderwick.core.time.MonotonicClock;

/**
 * Maintains the {@link SyncMembership} of the groups with synchronous replication as a {@link SyncMembershipTracker} of
 * each says. Checks run on threads of their own, since the endpoints may not respond. Groups with asynchronous
 * replication cost nothing. Confined to one thread otherwise.
 */
final class SyncMembershipManager {

    private static final Logger LOG = Logger.getLogger(SyncMembershipManager.class);

    /** The tracker of a group, and the result of its last check until the tracker has it; null while there is none. */
    private record Tracked(SyncMembershipTracker tracker, AtomicReference<Optional<ReplicationCheck.Result>> checked) {

        Tracked() {
            this(SyncMembershipTracker.create(), new AtomicReference<>());
        }
    }

    private final FleetStore store;
    private final EndpointCodec codec;
    private final MonotonicClock clock;
    private final StoreCache storeCache;
    private final LeaseEvidence evidence;
    private final Map<GroupName, Tracked> groups = new HashMap<>();

    SyncMembershipManager(
            FleetStore store,
            EndpointCodec codec,
            MonotonicClock clock,
            StoreCache storeCache,
            LeaseEvidence evidence) {
        this.store = store;
        this.codec = codec;
        this.clock = clock;
        this.storeCache = storeCache;
        this.evidence = evidence;
    }

    /**
     * Maintains the membership of a group with synchronous replication of which this daemon is an owner.
     *
     * @param turn how long this daemon waits for the owners before it, each time there is something to do
     */
    void maintain(GroupName group, GroupTerm term, GroupDirectory directory, long era, Duration turn) {
        Tracked tracked = groups.computeIfAbsent(group, name -> new Tracked());
        Optional<ReplicationCheck.Result> checked = tracked.checked().getAndSet(null);
        if (checked != null) {
            tracked.tracker().onChecked(checked);
        }
        if (term.phase() != TermPhase.OPEN || directory.syncReplicas() == 0) {
            return;
        }
        Optional<StoreEntry> entry = storeCache.entry(SyncMembershipCodec.key(group));
        Optional<SyncMembership> stored =
                entry.flatMap(found -> SyncMembershipCodec.decode(found.value()).toJavaOptional());
        SyncMembershipTracker.Actions actions = tracked.tracker()
                .next(
                        new SyncMembershipTracker.Situation(stored, term, directory, era, evidence.view(group)),
                        turn,
                        clock.now());
        actions.write().ifPresent(membership -> write(group, membership, entry));
        actions.check().ifPresent(check -> start(group, check, tracked));
    }

    /** Forgets a group that does not have synchronous replication. */
    void forget(GroupName group) {
        groups.remove(group);
    }

    private void write(GroupName group, SyncMembership membership, Optional<StoreEntry> entry) {
        store.write(new StoreWrite(
                        SyncMembershipCodec.key(group),
                        entry.map(StoreEntry::revision).orElse(StoreWrite.ABSENT),
                        SyncMembershipCodec.encode(membership),
                        StoreWrite.NO_LEASE))
                .peek(revision -> LOG.infof(
                        "[fleet] Each acknowledged commit of %s is on %d or more of %s.",
                        group, membership.required(), membership.replicas()))
                .peekLeft(failure -> LOG.debugf(
                        "[fleet] Could not write the synchronous replicas of %s: %s", group, failure.detail()));
    }

    private void start(GroupName group, ReplicationCheck check, Tracked tracked) {
        Thread thread = new Thread(
                () -> {
                    Optional<ReplicationCheck.Result> result = Optional.empty();
                    try (EndpointControlClient endpoints = new EndpointControlClient(codec)) {
                        result = check.run(endpoints);
                    } catch (RuntimeException e) {
                        LOG.errorf(e, "[fleet] Checking the replicas of %s failed unexpectedly; trying again.", group);
                    } finally {
                        tracked.checked().set(result);
                    }
                },
                "replication-check");
        thread.setDaemon(true);
        thread.start();
    }
}
