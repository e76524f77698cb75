package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.failover.UnanimousEvidence.TimedReport;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.store.StoreEntry;
import org.lavenderwick.core.store.StoreWrite;

/** A daemon that gathers evidence, writes to the primary that it proves, and sometimes starts failovers. */
final class SimulatedDaemon {

    private final Simulation simulation;
    private final RandomGenerator random;
    private final SimulatedStore store;
    private final SimulatedGroup group;
    private final FailoverSafetyTest.Guards guards;
    private final LeaseEvidence lease = LeaseEvidence.create();
    private final Map<EndpointName, TimedReport> reports = new HashMap<>();
    private boolean reachesStore = true;
    private long stoodStill;
    private long suspendedUntil;
    private Duration distrustedUntil = Duration.ofSeconds(-1);
    private FailoverRun run;
    private String violation = "";

    SimulatedDaemon(
            Simulation simulation,
            RandomGenerator random,
            SimulatedStore store,
            SimulatedGroup group,
            FailoverSafetyTest.Guards guards) {
        this.simulation = simulation;
        this.random = random;
        this.store = store;
        this.group = group;
        this.guards = guards;
    }

    String violation() {
        return violation;
    }

    void reachesStore(boolean value) {
        reachesStore = value;
    }

    /** Stops the daemon and its monotonic clock. */
    void suspend(long millis) {
        if (simulation.now() >= suspendedUntil) {
            suspendedUntil = simulation.now() + millis;
            stoodStill += millis;
        }
    }

    private Duration clock() {
        return Duration.ofMillis(simulation.now() - stoodStill);
    }

    /** Runs an action now, or when the daemon goes on. */
    private void awake(Runnable action) {
        long left = suspendedUntil - simulation.now();
        if (left > 0) {
            simulation.after(left, () -> awake(action));
            return;
        }
        if (suspendedUntil > 0) {
            suspendedUntil = 0;
            if (guards.detectsSuspension()) {
                distrustedUntil = clock();
                reports.clear();
            }
        }
        action.run();
    }

    void start() {
        every(300, this::renew);
        every(400, this::askEndpoints);
        every(70, this::write);
        every(250, this::advance);
    }

    private void every(long millis, Runnable action) {
        simulation.after(
                1 + random.nextLong(2 * millis),
                () -> awake(() -> {
                    action.run();
                    every(millis, action);
                }));
    }

    private void renew() {
        if (!reachesStore) {
            return;
        }
        if (random.nextInt(3) == 0) {
            store.read(TermRecord.KEY).peek(entry -> entry.ifPresent(this::install));
        }
        if (lease.revision() == 0) {
            addGroup();
            return;
        }
        Duration sentAt = clock();
        long number = lease.record().lease();
        simulation.after(random.nextLong(200), () -> {
            var answer = store.renewLease(number);
            simulation.after(
                    random.nextLong(200),
                    () -> awake(() -> {
                        if (answer.isRight()) {
                            lease.onRenewed(number, sentAt);
                        } else if (answer.getLeft().kind() == ErrorKind.LEASE_EXPIRED) {
                            replaceLease(number);
                        }
                    }));
        });
    }

    private void install(StoreEntry entry) {
        TermRecordCodec.decode(entry.value()).peek(record -> lease.install(record, entry.revision()));
    }

    private void addGroup() {
        store.grantLease(TermLease.TIME_TO_LIVE).peek(number -> {
            TermRecord record = TermRecord.EMPTY
                    .replacingExpiredLease(number)
                    .with(SimulatedGroup.NAME, GroupTerm.open(EndpointName.of("e1"), 1, 0));
            store.write(new StoreWrite(TermRecord.KEY, StoreWrite.ABSENT, TermRecordCodec.encode(record), 0));
        });
    }

    private void replaceLease(long lapsed) {
        store.read(TermRecord.KEY).peek(entry -> entry.ifPresent(this::install));
        if (lease.record().lease() == lapsed) {
            store.grantLease(TermLease.TIME_TO_LIVE)
                    .peek(number -> store.write(new StoreWrite(
                            TermRecord.KEY,
                            lease.revision(),
                            TermRecordCodec.encode(lease.record().replacingExpiredLease(number)),
                            0)));
        }
    }

    private void askEndpoints() {
        for (EndpointEntry member : group.members()) {
            Duration sentAt = clock();
            simulation.after(random.nextLong(150), () -> {
                boolean settled = simulation.now() - group.startedAt(member.name())
                        > FailoverTimings.DEFAULTS.minConnectionAge().toMillis();
                var report = group.report(member.name()).map(this::asHeeded);
                if (settled || !guards.settledConnections()) {
                    report.peek(value -> simulation.after(
                            random.nextLong(150),
                            () -> awake(() -> reports.put(member.name(), new TimedReport(sentAt, value)))));
                }
            });
        }
    }

    private EndpointReport asHeeded(EndpointReport report) {
        return guards.heedsPromises() ? report : new EndpointReport(report.role(), report.term(), report.received(), 0);
    }

    private Optional<ProvenPrimary> view() {
        List<EndpointName> members =
                group.members().stream().map(EndpointEntry::name).toList();
        Optional<ProvenPrimary> fromLease = lease.view(SimulatedGroup.NAME);
        Optional<ProvenPrimary> fromEndpoints = UnanimousEvidence.evaluate(members, reports);
        return java.util.stream.Stream.concat(fromLease.stream(), fromEndpoints.stream())
                .filter(found -> found.provenAt().compareTo(distrustedUntil) > 0)
                .reduce(ProvenPrimary::newer)
                .filter(found -> found.provenAt()
                                .plus(FailoverTimings.DEFAULTS.evidenceMaxAge())
                                .compareTo(clock())
                        > 0);
    }

    /** Sends a write under evidence, and acknowledges it under evidence. */
    private void write() {
        Optional<ProvenPrimary> sentUnder = view();
        if (sentUnder.isEmpty()) {
            return;
        }
        EndpointName target = sentUnder.get().primary();
        if (!group.leader().equals(target)) {
            violation = "a read would be sent to " + target + " at " + simulation.now();
        }
        simulation.after(random.nextLong(4000), () -> {
            boolean replaced = !group.leader().equals(target);
            if (group.commit(target)) {
                simulation.after(random.nextLong(300), () -> awake(() -> acknowledge(sentUnder.get(), replaced)));
            }
        });
    }

    private void acknowledge(ProvenPrimary sentUnder, boolean replacedAtCommit) {
        EndpointName target = sentUnder.primary();
        boolean proven = !guards.checksAcknowledgements()
                || view().filter(sentUnder::isSameTerm).isPresent();
        if (proven && replacedAtCommit) {
            violation = "a write committed by the replaced " + target + " was acknowledged at " + simulation.now();
        }
    }

    private void advance() {
        if (run == null || run.outcome() != FailoverOutcome.RUNNING) {
            run = null;
            Optional<GroupTerm> term = lease.record().group(SimulatedGroup.NAME);
            if (term.isPresent() && random.nextInt(12) == 0) {
                run = FailoverRun.create(
                        SimulatedGroup.NAME,
                        group.members(),
                        term.get().primary(),
                        store,
                        group,
                        group,
                        guards.timings());
            }
        }
        if (run != null && reachesStore) {
            run.advance(clock());
        }
    }
}
