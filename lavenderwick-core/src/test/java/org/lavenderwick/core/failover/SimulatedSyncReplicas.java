package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.core.store.StoreWrite;

/** The maintenance of the {@link SyncMembership} of the simulated group by one daemon. */
final class SimulatedSyncReplicas {

    /**
     * The safeguards of synchronous replication.
     *
     * @param remembersReplicas whether the replicas that may hold acknowledged commits are kept in the store
     * @param distinguishesRestarts whether an endpoint that restarted counts as another one
     */
    record Guards(boolean remembersReplicas, boolean distinguishesRestarts) {}

    private final Simulation simulation;
    private final RandomGenerator random;
    private final SimulatedStore store;
    private final SimulatedLinks links;
    private final Guards guards;
    private final SyncMembershipTracker tracker = SyncMembershipTracker.create();

    SimulatedSyncReplicas(
            Simulation simulation, RandomGenerator random, SimulatedStore store, SimulatedLinks links, Guards guards) {
        this.simulation = simulation;
        this.random = random;
        this.store = store;
        this.links = links;
        this.guards = guards;
    }

    /**
     * Takes one step.
     *
     * @param whenRunning runs an action once the daemon is not suspended
     */
    void maintain(LeaseEvidence evidence, GroupDirectory directory, Duration now, Consumer<Runnable> whenRunning) {
        Optional<GroupTerm> term = evidence.record().group(SimulatedGroup.NAME);
        if (!guards.remembersReplicas()
                || directory.syncReplicas() == 0
                || term.filter(found -> found.phase() == TermPhase.OPEN).isEmpty()) {
            return;
        }
        String key = SyncMembershipCodec.key(SimulatedGroup.NAME);
        store.read(key).peek(entry -> {
            SyncMembershipTracker.Actions actions = tracker.next(
                    new SyncMembershipTracker.Situation(
                            entry.flatMap(found ->
                                    SyncMembershipCodec.decode(found.value()).toJavaOptional()),
                            term.get(),
                            directory,
                            evidence.record().era(),
                            evidence.view(SimulatedGroup.NAME)),
                    Duration.ZERO,
                    now);
            actions.write()
                    .ifPresent(membership -> store.write(new StoreWrite(
                            key,
                            entry.map(StoreEntry::revision).orElse(StoreWrite.ABSENT),
                            SyncMembershipCodec.encode(membership),
                            StoreWrite.NO_LEASE)));
            actions.check().ifPresent(check -> {
                Optional<ReplicationCheck.Result> result = check.run(links);
                simulation.schedule(random.nextLong(300), () -> whenRunning.accept(() -> tracker.onChecked(result)));
            });
        });
    }
}
