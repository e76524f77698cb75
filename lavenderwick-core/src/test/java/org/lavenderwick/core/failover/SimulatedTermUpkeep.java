package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.store.EraRevision;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.core.store.StoreWrite;

/** What a simulated daemon does with the term record, apart from failovers. */
final class SimulatedTermUpkeep {

    private final SimulatedDaemon daemon;
    private final Simulation simulation;
    private final RandomGenerator random;
    private final SimulatedStore store;
    private final LeaseEvidence evidence;
    private final Safeguards safeguards;
    private final GroupMembershipTracker memberships;
    private Duration missingSince;
    private long missingInEra;

    SimulatedTermUpkeep(
            SimulatedDaemon daemon,
            Simulation simulation,
            RandomGenerator random,
            SimulatedStore store,
            LeaseEvidence evidence,
            Safeguards safeguards) {
        this.daemon = daemon;
        this.simulation = simulation;
        this.random = random;
        this.store = store;
        this.evidence = evidence;
        this.safeguards = safeguards;
        this.memberships = GroupMembershipTracker.create(SimulatedGroup.NAME, safeguards.membershipTimings());
    }

    /**
     * Renews the lease of the record, or adds the group to it.
     *
     * @param missingChanges whether changes of the record do not arrive
     */
    void renew(boolean missingChanges) {
        if (!daemon.reachesStore()) {
            return;
        }
        if (!missingChanges && random.nextInt(3) == 0) {
            store.read(TermRecord.KEY).peek(entry -> entry.ifPresent(this::install));
        }
        if (evidence.record().group(SimulatedGroup.NAME).isEmpty()) {
            recordGroup();
            return;
        }
        missingSince = null;
        Duration sentAt = daemon.clock();
        long era = evidence.record().era();
        long leaseId = evidence.record().lease();
        simulation.schedule(random.nextLong(200), () -> {
            var response = store.renewLease(leaseId);
            simulation.schedule(
                    random.nextLong(200),
                    () -> daemon.whenRunning(() -> {
                        if (response.isRight()) {
                            evidence.onRenewed(
                                    leaseId,
                                    safeguards.has(Safeguard.ERA)
                                            ? response.get()
                                            : evidence.record().era(),
                                    sentAt);
                        } else if (response.getLeft().kind() == ErrorKind.LEASE_EXPIRED) {
                            replaceExpiredLease(era, leaseId);
                        }
                    }));
        });
    }

    private void install(StoreEntry entry) {
        TermRecordCodec.decode(entry.value())
                .map(record ->
                        safeguards.has(Safeguard.ERA) ? record : inEra(record, EraRevision.era(entry.revision())))
                .peek(record -> evidence.install(record, entry.revision()));
    }

    private static TermRecord inEra(TermRecord record, long era) {
        return new TermRecord(era, record.lease(), record.leasesToRevoke(), record.groups(), record.memberships());
    }

    /** Adds the group to the record, in the first era with its first primary. */
    private void recordGroup() {
        long era = evidence.record().era();
        missingSince = missingSince == null || missingInEra != era ? daemon.clock() : missingSince;
        missingInEra = era;
        Optional<GroupTerm> term = era == EraRevision.FIRST_ERA
                ? Optional.of(GroupTerm.open(EndpointName.of("e1"), 1, 0))
                : TermInheritance.termToRecord(
                        era,
                        evidence.inherited(SimulatedGroup.NAME),
                        daemon.provenByEndpoints(),
                        daemon.reportedByEndpoints(),
                        missingSince,
                        daemon.clock());
        boolean read = store.read(TermRecord.KEY)
                .peek(entry -> entry.ifPresent(this::install))
                .isRight();
        evidence.enterEra(store.era());
        if (!read || term.isEmpty() || evidence.record().era() != era) {
            return;
        }
        TermRecord record = evidence.record();
        if (record.group(SimulatedGroup.NAME).isEmpty()) {
            store.grantLease(TermLease.TIME_TO_LIVE)
                    .peek(leaseId -> store.write(new StoreWrite(
                            TermRecord.KEY,
                            evidence.revision(),
                            TermRecordCodec.encode(record.replacingExpiredLease(leaseId)
                                    .adding(
                                            SimulatedGroup.NAME,
                                            term.get(),
                                            evidence.inheritedMembership(SimulatedGroup.NAME),
                                            daemon.registered())),
                            StoreWrite.NO_LEASE)));
        }
    }

    private void replaceExpiredLease(long era, long expired) {
        store.read(TermRecord.KEY).peek(entry -> entry.ifPresent(this::install));
        if (evidence.record().hasLease(era, expired)) {
            store.grantLease(TermLease.TIME_TO_LIVE)
                    .peek(leaseId -> store.write(new StoreWrite(
                            TermRecord.KEY,
                            evidence.revision(),
                            TermRecordCodec.encode(evidence.record().replacingExpiredLease(leaseId)),
                            0)));
        }
    }

    /** Maintains the members of the group in the term record. */
    void maintainMembership() {
        TermRecord record = evidence.record();
        if (!daemon.reachesStore() || record.group(SimulatedGroup.NAME).isEmpty()) {
            return;
        }
        memberships
                .next(record, evidence.revision(), daemon.directory(), Duration.ZERO, daemon.clock())
                .ifPresent(change -> {
                    if (change.revokesLeases()
                            && !record.leasesToRevoke().stream().allMatch(this::revoke)) {
                        return;
                    }
                    TermRecord changed = (change.revokesLeases()
                                    ? record.withoutRevokedLeases(record.leasesToRevoke())
                                    : record)
                            .withMembership(SimulatedGroup.NAME, change.membership());
                    if (!change.needsNewLease() || !safeguards.has(Safeguard.LEASE_OF_JOINING)) {
                        write(changed);
                        return;
                    }
                    store.grantLease(TermLease.TIME_TO_LIVE).peek(lease -> write(changed.withLease(lease)));
                });
    }

    private boolean revoke(long lease) {
        return store.revokeLease(lease).isRight();
    }

    private void write(TermRecord changed) {
        long revision = evidence.revision();
        store.write(new StoreWrite(TermRecord.KEY, revision, TermRecordCodec.encode(changed), StoreWrite.NO_LEASE))
                .peek(written -> evidence.install(changed, written));
    }
}
