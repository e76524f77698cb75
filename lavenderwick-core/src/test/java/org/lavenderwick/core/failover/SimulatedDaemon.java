package org.lavenderwick.core.failover;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.failover.UnanimousEvidence.TimedReport;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.time.Suspensions;

/** A simulated daemon that gathers evidence, writes to the primary that it proves, and starts failovers at random. */
final class SimulatedDaemon {

    private static final int REPLICATION_POLLS = 10;

    /** Mean number of attempts until a daemon without the store gets the content of another one. */
    private static final int FEED_ATTEMPTS = 10;

    private final Simulation simulation;
    private final RandomGenerator random;
    private final SimulatedStore store;
    private final SimulatedGroup group;
    private final SimulatedNetwork network;
    private final SimulatedLinks links;
    private final int domain;
    private final Safeguards safeguards;
    private final LeaseEvidence evidence = LeaseEvidence.create();
    private final SimulatedDirectory directory = new SimulatedDirectory();
    private final Map<EndpointName, TimedReport> reports = new HashMap<>();
    private final Map<EndpointName, TimedReport> newestReports = new HashMap<>();
    private boolean storeReachable = true;
    private boolean missingChanges;
    private long totalSuspendedMillis;
    private long suspendedUntil;
    private Duration suspendedFor = Duration.ZERO;
    private Duration evidenceDiscardedAt = Duration.ofSeconds(-1);
    private String violation = "";
    private boolean stopped;
    private int writesWithoutStore;
    private boolean distinguishesRestarts = true;
    private final List<Long> acknowledgementTimes = new ArrayList<>();
    private final Suspensions suspensions = Suspensions.create();
    private final SimulatedTermUpkeep terms;
    private final SimulatedFailovers failovers;
    private List<SimulatedDaemon> fleet = List.of();

    SimulatedDaemon(
            Simulation simulation,
            RandomGenerator random,
            SimulatedStore store,
            SimulatedGroup group,
            SimulatedNetwork network,
            int domain,
            Safeguards safeguards) {
        this.simulation = simulation;
        this.random = random;
        this.store = store;
        this.group = group;
        this.network = network;
        this.domain = domain;
        this.links = new SimulatedLinks(group, network, domain);
        this.safeguards = safeguards;
        this.terms = new SimulatedTermUpkeep(this, simulation, random, store, evidence, safeguards);
        this.failovers = new SimulatedFailovers(this, simulation, random, store, links, evidence, safeguards);
    }

    String violation() {
        return violation;
    }

    /** Sets the running daemons; the list changes when one is replaced. */
    void join(List<SimulatedDaemon> daemons) {
        fleet = daemons;
    }

    /** Ends the process. */
    void stop() {
        stopped = true;
    }

    /** Returns the failovers that this daemon runs. */
    SimulatedFailovers failovers() {
        return failovers;
    }

    /** Returns how many writes this daemon has acknowledged between two times, in simulated milliseconds. */
    long acknowledgedWrites(long fromMillis, long toMillis) {
        return acknowledgementTimes.stream()
                .filter(time -> time >= fromMillis && time < toMillis)
                .count();
    }

    /** Returns the number of writes sent to a primary while this daemon did not reach the store. */
    int writesWithoutStore() {
        return writesWithoutStore;
    }

    boolean reachesStore() {
        return storeReachable && network.reachesStore(domain);
    }

    /** Returns another running daemon that this one reaches; empty if there is none. */
    private Optional<SimulatedDaemon> peer() {
        List<SimulatedDaemon> reachable = fleet.stream()
                .filter(other -> other != this && network.connects(domain, other.domain))
                .toList();
        return reachable.isEmpty() ? Optional.empty() : Optional.of(reachable.get(random.nextInt(reachable.size())));
    }

    void setStoreReachable(boolean reachable) {
        storeReachable = reachable;
    }

    /** Sets whether changes of the store do not arrive, although its calls succeed. */
    void setMissingChanges(boolean missing) {
        missingChanges = missing;
    }

    /** Suspends the daemon together with its monotonic clock. */
    void suspend(long millis) {
        if (simulation.now() >= suspendedUntil) {
            suspendedUntil = simulation.now() + millis;
            totalSuspendedMillis += millis;
            suspendedFor = Duration.ofMillis(millis);
        }
    }

    Duration clock() {
        return Duration.ofMillis(simulation.now() - totalSuspendedMillis);
    }

    /** Runs an action now or, if the daemon is suspended, once it resumes. */
    void whenRunning(Runnable action) {
        if (stopped) {
            return;
        }
        long left = suspendedUntil - simulation.now();
        if (left > 0) {
            simulation.schedule(left, () -> whenRunning(action));
            return;
        }
        if (suspendedUntil > 0) {
            suspendedUntil = 0;
            if (safeguards.has(Safeguard.SUSPENSION_DETECTION)) {
                evidenceDiscardedAt = clock();
                suspensions.record(clock(), suspendedFor);
                reports.clear();
                newestReports.clear();
            }
        }
        action.run();
    }

    void start() {
        every(300, () -> terms.renew(missingChanges));
        every(250, this::requestConfirmation);
        every(400, this::requestReports);
        every(70, this::write);
        every(250, failovers::advance);
        readDirectory();
        every(200, this::readDirectory);
        every(200, terms::maintainMembership);
    }

    private void every(long millis, Runnable action) {
        simulation.schedule(
                1 + random.nextLong(2 * millis),
                () -> whenRunning(() -> {
                    action.run();
                    every(millis, action);
                }));
    }

    /** Returns the time that a message between daemons takes; some connections stall. */
    private long messageMillis() {
        return random.nextLong(random.nextInt(5) == 0 ? 3000 : 200);
    }

    /** Asks another daemon, which may be suspended before or after it has made its statement. */
    private void requestConfirmation() {
        Optional<SimulatedDaemon> peer = peer();
        Duration requestedAt = clock();
        peer.ifPresent(other -> simulation.schedule(
                messageMillis(),
                () -> other.whenRunning(() -> other.evidence
                        .confirmation(other::clock, () -> other.evidenceDiscardedAt)
                        .ifPresent(confirmation -> simulation.schedule(
                                messageMillis(),
                                () -> whenRunning(() -> evidence.onConfirmed(
                                        confirmation,
                                        safeguards.has(Safeguard.CONFIRMATION_DATE) ? requestedAt : clock())))))));
    }

    private void requestReports() {
        for (EndpointName name : directory.members()) {
            Duration sentAt = clock();
            simulation.schedule(random.nextLong(150), () -> {
                boolean oldEnough = simulation.now() - group.endpoint(name).startedAt
                        > FailoverTimings.DEFAULTS.minConnectionAge().toMillis();
                var report = links.reaches(name)
                        ? group.report(name).map(this::withRespectedPromises)
                        : Either.<Failure, EndpointReport>left(Failure.of(ErrorKind.NO_ELIGIBLE_ENDPOINT, "cut off"));
                report.peek(value -> simulation.schedule(
                        random.nextLong(150),
                        () -> whenRunning(() -> {
                            newestReports.put(name, new TimedReport(sentAt, value));
                            if (oldEnough || !safeguards.has(Safeguard.CONNECTION_AGE)) {
                                reports.put(name, new TimedReport(sentAt, value));
                            }
                        })));
            });
        }
    }

    private EndpointReport withRespectedPromises(EndpointReport report) {
        return safeguards.has(Safeguard.PROMISES)
                ? report
                : new EndpointReport(report.role(), report.term(), report.received(), 0);
    }

    /** Returns the primary that the reports of the members prove, for serving. */
    private Optional<ProvenPrimary> provenByMembers() {
        if (!safeguards.has(Safeguard.RECORDED_MEMBERS)) {
            return UnanimousEvidence.evaluate(directory.members(), reports);
        }
        return Optional.ofNullable(evidence.confirmedMembers().get(SimulatedGroup.NAME))
                .flatMap(known -> UnanimousEvidence.evaluate(
                        known.olderBy(suspensions.since(known.confirmedAt())), safeguards.evidenceTimings(), reports));
    }

    /** Returns the members and the registered endpoints, which must confirm a primary in a new era of the store. */
    private Set<EndpointName> knownEndpoints() {
        Set<EndpointName> known = new HashSet<>(directory.members());
        Optional.ofNullable(evidence.confirmedMembers().get(SimulatedGroup.NAME))
                .ifPresent(confirmed -> known.addAll(confirmed.members()));
        known.addAll(evidence.inheritedMembership(SimulatedGroup.NAME).all());
        return known;
    }

    Optional<ProvenPrimary> provenByEndpoints() {
        return UnanimousEvidence.evaluate(knownEndpoints(), reports);
    }

    Optional<ProvenPrimary> reportedByEndpoints() {
        return UnanimousEvidence.evaluate(knownEndpoints(), newestReports);
    }

    private Optional<ProvenPrimary> provenPrimary() {
        Optional<ProvenPrimary> fromLease = evidence.view(SimulatedGroup.NAME);
        Optional<ProvenPrimary> fromEndpoints = provenByMembers();
        return Stream.concat(fromLease.stream(), fromEndpoints.stream())
                .filter(found -> found.provenAt().compareTo(evidenceDiscardedAt) > 0)
                .reduce(ProvenPrimary::newer)
                .filter(found -> found.provenAt()
                                .plus(FailoverTimings.DEFAULTS.evidenceMaxAge())
                                .compareTo(clock())
                        > 0);
    }

    /** Sends a write to the proven primary and acknowledges it if evidence still proves that primary. */
    private void write() {
        Optional<ProvenPrimary> provenWhenSent = provenPrimary();
        if (provenWhenSent.isEmpty()) {
            return;
        }
        EndpointName target = provenWhenSent.get().primary();
        if (!links.reaches(target)) {
            return;
        }
        writesWithoutStore += reachesStore() ? 0 : 1;
        if (!group.leader().equals(target)) {
            violation = "a read would be sent to the replaced primary " + target + " at " + simulation.now() + " ms";
        }
        simulation.schedule(random.nextLong(4000), () -> {
            boolean replaced = !group.leader().equals(target);
            group.commit(target)
                    .ifPresent(commit -> whenReplicated(
                            commit,
                            () -> simulation.schedule(
                                    random.nextLong(300),
                                    () -> whenRunning(() -> acknowledge(provenWhenSent.get(), commit, replaced)))));
        });
    }

    /** Runs an action once enough replicas have received a commit; gives up after a while. */
    private void whenReplicated(SimulatedEndpoint.Commit commit, Runnable action) {
        whenReplicated(commit, action, REPLICATION_POLLS);
    }

    private void whenReplicated(SimulatedEndpoint.Commit commit, Runnable action, int polls) {
        if (group.isReplicated(commit)) {
            action.run();
        } else if (polls > 0) {
            simulation.schedule(100, () -> whenReplicated(commit, action, polls - 1));
        }
    }

    private void acknowledge(
            ProvenPrimary provenWhenSent, SimulatedEndpoint.Commit commit, boolean replacedBeforeCommit) {
        EndpointName target = provenWhenSent.primary();
        boolean proven = !safeguards.has(Safeguard.EVIDENCE_RECHECK)
                || provenPrimary().filter(provenWhenSent::isSameTerm).isPresent();
        if (proven) {
            group.acknowledged(commit);
            acknowledgementTimes.add(simulation.now());
        }
        if (proven && replacedBeforeCommit) {
            violation = "a write committed by the replaced primary " + target + " was acknowledged at "
                    + simulation.now() + " ms";
        }
    }

    /** Makes this daemon maintain the synchronous replicas. */
    void maintainSyncReplicas(SimulatedSyncReplicas.Guards guards) {
        distinguishesRestarts = guards.distinguishesRestarts();
        SimulatedSyncReplicas replicas = new SimulatedSyncReplicas(simulation, random, store, links, guards);
        every(150, () -> {
            if (reachesStore()) {
                replicas.maintain(evidence, directory(), clock(), this::whenRunning);
            }
        });
    }

    /** Reads the content of the store or, without access to it, that of another daemon. */
    private void readDirectory() {
        if (missingChanges) {
            return;
        }
        if (!reachesStore()) {
            // Other daemons may be slow to pass changes on, or not have them either.
            if (random.nextInt(FEED_ATTEMPTS) == 0) {
                peer().ifPresent(this::followFeed);
            }
            directory.removeExpired(clock());
            return;
        }
        int syncReplicas = store.catalog()
                .map(catalog -> catalog.syncReplicas().getOrDefault(SimulatedGroup.NAME, 0))
                .orElse(0);
        var content = store.endpoints();
        long revision = store.revision();
        simulation.schedule(
                random.nextLong(300),
                () -> whenRunning(() -> directory.replaceAll(content, syncReplicas, revision, clock())));
    }

    private void followFeed(SimulatedDaemon other) {
        directory.followFeed(other.directory, clock());
        evidence.install(other.evidence.record(), other.evidence.revision());
    }

    /** Returns the endpoints that this daemon knows to be registered. */
    Set<EndpointName> registered() {
        return directory.members();
    }

    GroupDirectory directory() {
        return directory.toGroupDirectory(distinguishesRestarts);
    }
}
