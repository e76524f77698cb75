package org.lavenderwick.core.promotion;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.Term;

/**
 * A seeded simulation of three endpoints, the platform, two coordinator processes and three writing daemons. Faults are
 * injected first; then the network heals and a final switchover must complete. Throws {@link Violation} if a safety
 * property or the progress limit is violated.
 */
final class PromotionSimulation {

    static final int PLATFORM = 8;

    private static final long MILLIS = SimulatedNetwork.MILLIS;
    private static final long HEALED_AT = 12_000 * MILLIS;
    private static final int NODES = 9;

    /**
     * The safeguards of the protocol that a run can weaken.
     *
     * @param coordinator timings of the coordinators
     * @param holder timings of the writing daemons
     * @param checksRevision whether the platform checks the expected revision of a write
     * @param allowsForgedSeals whether coordinators receive acceptances of seals that no endpoint gave
     */
    record Safeguards(
            PromotionTimings coordinator, PromotionTimings holder, boolean checksRevision, boolean allowsForgedSeals) {}

    /** An event counted in a run, so that a test can check that the runs provoke it. */
    enum Event {
        ACKNOWLEDGED,
        ACKNOWLEDGED_WHILE_CLOSING,
        PLANNED_TERM,
        UNPLANNED_TERM,
        RECORD_CLAIMED,
        CANDIDATE_ABANDONED,
        REOPENED,
        WRITE_CONFLICT,
        PLATFORM_CALL
    }

    /** Signals that a safety property or the progress limit was violated. */
    static final class Violation extends RuntimeException {
        private static final long serialVersionUID = 1;

        Violation(String message) {
            super(message);
        }
    }

    private record Acknowledged(long term, int write, int position) {}

    final SimulatedNetwork network;
    final Safeguards safeguards;
    final FakePlatform platform;

    private final List<FakeEndpoint> endpoints = new ArrayList<>();
    private final List<EndpointName> names;
    private final List<SimulatedCoordinator> coordinators = new ArrayList<>();
    private final List<Acknowledged> acknowledged = new ArrayList<>();
    private final Map<Long, EndpointName> primaryOfTerm = new HashMap<>();
    private final Set<Long> plannedTerms = new HashSet<>();
    private final Map<Event, Integer> events = new EnumMap<>(Event.class);
    private GroupRecord lastWritten;
    private long newestTerm = 1;
    private int writes;
    private boolean finalSwitchoverStarted;

    PromotionSimulation(long seed, Safeguards safeguards) {
        this.network = new SimulatedNetwork(seed, NODES, HEALED_AT);
        this.safeguards = safeguards;
        for (int i = 0; i < 3; i++) {
            endpoints.add(new FakeEndpoint("e" + (i + 1), i, i == 0));
        }
        names = endpoints.stream().map(endpoint -> endpoint.name).toList();
        GroupRecord first = new GroupRecord(
                Term.of(1),
                names.get(0),
                GroupState.OPEN,
                List.of(new TermStart(Term.of(1), 0)),
                0,
                "first",
                false,
                Optional.empty());
        platform = new FakePlatform(first, safeguards.checksRevision(), this::recordWritten);
        primaryOfTerm.put(1L, names.get(0));
        coordinators.add(new SimulatedCoordinator(this, 3));
        coordinators.add(new SimulatedCoordinator(this, 4));
        IntStream.range(5, PLATFORM).forEach(node -> new SimulatedWriter(this, node));
        endpoints.forEach(this::replicate);
        network.after(500 * MILLIS, this::injectFault);
        network.at(HEALED_AT, () -> coordinators.forEach(SimulatedCoordinator::resume));
        network.at(HEALED_AT, this::runFinalSwitchover);
    }

    /** Runs until the final switchover is complete. Both the simulated time and the number of events are limited. */
    PromotionSimulation runToCompletion(Duration limitAfterFaults, long maxEvents) {
        while (!isComplete()) {
            boolean late = network.now() > HEALED_AT + limitAfterFaults.toNanos();
            if (late || network.eventCount() > maxEvents) {
                throw new Violation("no progress: " + platform.record());
            }
            network.runNextEvent();
        }
        return this;
    }

    private boolean isComplete() {
        return finalSwitchoverStarted
                && coordinators.stream().allMatch(SimulatedCoordinator::isIdle)
                && platform.record().state() == GroupState.OPEN
                && endpoint(platform.record().primary())
                        .serves(platform.record().term().number());
    }

    /** Injects one fault or starts one promotion request, and schedules the next. */
    private void injectFault() {
        if (network.isHealed()) {
            return;
        }
        network.after(network.random.nextLong(50 * MILLIS, 600 * MILLIS), this::injectFault);
        SimulatedCoordinator process = coordinators.get(network.random.nextInt(2));
        long until = network.now() + network.random.nextLong(4_000 * MILLIS);
        switch (network.random.nextInt(10)) {
            case 0 -> isolate(network.random.nextInt(NODES), until);
            case 1 -> network.partition(network.random.nextInt(NODES), network.random.nextInt(NODES), until);
            case 2 -> process.pause(randomPause());
            case 3 -> process.restart();
            case 4 -> endpoints.get(network.random.nextInt(3)).restart();
            default -> {
                if (process.isIdle()) {
                    process.start(randomRequest());
                }
            }
        }
    }

    private void isolate(int node, long until) {
        IntStream.range(0, NODES).forEach(other -> network.partition(node, other, until));
    }

    private PromotionRequest randomRequest() {
        return switch (network.random.nextInt(8)) {
            case 0 -> new PromotionRequest.Resume();
            case 1 -> new PromotionRequest.Switchover(Optional.of(names.get(network.random.nextInt(3))));
            case 2, 3 -> new PromotionRequest.Switchover(Optional.empty());
            default -> new PromotionRequest.Unplanned(platform.record().term());
        };
    }

    /** Returns a pause of up to twice the time to live of the lease, in nanoseconds. */
    long randomPause() {
        return network.random.nextLong(2 * safeguards.coordinator().leaseTtl().toNanos());
    }

    /** Resumes any unfinished promotion and then starts the final switchover, without faults. */
    private void runFinalSwitchover() {
        SimulatedCoordinator process = coordinators.get(0);
        if (process.isIdle()) {
            boolean open = platform.record().state() == GroupState.OPEN;
            if (!open) {
                process.start(new PromotionRequest.Resume());
            } else if (!finalSwitchoverStarted) {
                finalSwitchoverStarted = true;
                process.start(new PromotionRequest.Switchover(Optional.empty()));
            }
        }
        network.after(500 * MILLIS, this::runFinalSwitchover);
    }

    /** Replicates from a random endpoint that acts as primary. Several may do so, in different terms. */
    private void replicate(FakeEndpoint replica) {
        network.after(network.random.nextLong(20 * MILLIS, 300 * MILLIS), () -> replicate(replica));
        FakeEndpoint source = endpoints.get(network.random.nextInt(3));
        int limit = network.random.nextInt(1, 5);
        network.send(source.node, replica.node, () -> replica.replicateFrom(source, limit));
    }

    private void recordWritten(GroupRecord record) {
        long term = record.term().number();
        if (record.state() == GroupState.PROMOTING && record.planned()) {
            plannedTerms.add(term);
            checkNothingLost(endpoint(record.primary()), term);
        }
        check(
                lastWritten == null || record.fencingToken() >= lastWritten.fencingToken(),
                "accepted write with a stale fencing token");
        if (lastWritten != null && record.term().equals(lastWritten.term())) {
            if (record.state() == lastWritten.state()) {
                count(Event.RECORD_CLAIMED);
            } else if (record.state() == GroupState.CLOSING && lastWritten.state() == GroupState.PROMOTING) {
                count(Event.CANDIDATE_ABANDONED);
            }
        } else if (record.state() == GroupState.PROMOTING) {
            count(record.planned() ? Event.PLANNED_TERM : Event.UNPLANNED_TERM);
        }
        lastWritten = record;
        if (record.state() == GroupState.PROMOTING && !network.isHealed() && network.random.nextInt(4) == 0) {
            isolate(endpoint(record.primary()).node, network.now() + 4_000 * MILLIS);
        }
        newestTerm = Math.max(newestTerm, term);
    }

    /** Promotes the endpoint, and checks the safety properties of the new term. */
    EndpointReport promote(FakeEndpoint endpoint, long term, long start) {
        boolean served = endpoint.serves(term);
        EndpointReport report = endpoint.promote(term, start);
        if (!served && endpoint.serves(term)) {
            newestTerm = Math.max(newestTerm, term);
            EndpointName former = primaryOfTerm.putIfAbsent(term, endpoint.name);
            check(former == null || former.equals(endpoint.name), "second primary of term " + term);
            if (plannedTerms.contains(term)) {
                checkNothingLost(endpoint, term);
            }
            for (TermStart later : platform.record().termStarts()) {
                boolean agrees = later.term().number() > term || endpoint.agreesWith(later);
                check(agrees, "entry of an earlier term past the start of " + later);
            }
        }
        return report;
    }

    private void checkNothingLost(FakeEndpoint candidate, long term) {
        for (Acknowledged write : acknowledged) {
            boolean kept = write.term() != term - 1 || candidate.contains(write.write(), write.position());
            check(kept, "switchover lost acknowledged write " + write);
        }
    }

    void acknowledged(long term, int write, int position) {
        check(newestTerm <= term, "late acknowledgement in term " + term + " after term " + newestTerm);
        acknowledged.add(new Acknowledged(term, write, position));
        count(Event.ACKNOWLEDGED);
        if (platform.record().state() != GroupState.OPEN) {
            count(Event.ACKNOWLEDGED_WHILE_CLOSING);
        }
    }

    private void check(boolean holds, String violation) {
        if (!holds) {
            throw new Violation(violation + " at " + Duration.ofNanos(network.now()));
        }
    }

    void count(Event event) {
        events.merge(event, 1, Integer::sum);
    }

    int nextWrite() {
        return ++writes;
    }

    FakeEndpoint endpoint(EndpointName name) {
        return endpoints.get(names.indexOf(name));
    }

    List<EndpointName> endpointNames() {
        return names;
    }

    Map<Event, Integer> events() {
        return events;
    }

    Duration timeSinceHealed() {
        return Duration.ofNanos(network.now() - HEALED_AT);
    }
}
