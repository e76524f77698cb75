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
 * One seeded run: three endpoints, the platform, two coordinators and three holders of evidence under faults, then a
 * last switchover without faults. Throws {@link Violation} when the safety property or progress is violated.
 */
final class PromotionRun {

    static final int PLATFORM = 8;

    private static final long MILLIS = SimulatedNetwork.MILLIS;
    private static final long HEALED_AT = 12_000 * MILLIS;
    private static final int NODES = 9;

    /** What can be switched off in the wiring of a run. */
    record Guards(PromotionTimings coordinator, PromotionTimings holder, boolean checksRevision, boolean forgesSeals) {}

    /** What happened in a run, so that a test can show that the runs provoke it. */
    enum Event {
        ACKNOWLEDGED,
        ACKNOWLEDGED_WHILE_CLOSING,
        PLANNED_TERM,
        UNPLANNED_TERM,
        TAKEN_OVER,
        CANDIDATE_GIVEN_UP,
        REOPENED,
        WRITE_CONFLICT,
        PLATFORM_CALL
    }

    /** The property does not hold. */
    static final class Violation extends RuntimeException {
        private static final long serialVersionUID = 1;

        Violation(String message) {
            super(message);
        }
    }

    private record Acknowledged(long term, int write, int position) {}

    final SimulatedNetwork network;
    final Guards guards;
    final FakePlatform platform;

    private final List<FakeEndpoint> endpoints = new ArrayList<>();
    private final List<EndpointName> names;
    private final List<CoordinatorHost> hosts = new ArrayList<>();
    private final List<Acknowledged> acknowledged = new ArrayList<>();
    private final Map<Long, EndpointName> primaryOfTerm = new HashMap<>();
    private final Set<Long> plannedTerms = new HashSet<>();
    private final Map<Event, Integer> events = new EnumMap<>(Event.class);
    private GroupRecord lastWritten;
    private long newestTerm = 1;
    private int writes;
    private boolean lastStarted;

    PromotionRun(long seed, Guards guards) {
        this.network = new SimulatedNetwork(seed, NODES, HEALED_AT);
        this.guards = guards;
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
        platform = new FakePlatform(first, guards.checksRevision(), this::recordWritten);
        primaryOfTerm.put(1L, names.get(0));
        hosts.add(new CoordinatorHost(this, 3));
        hosts.add(new CoordinatorHost(this, 4));
        IntStream.range(5, PLATFORM).forEach(node -> new WritingHolder(this, node));
        endpoints.forEach(this::replicate);
        network.after(500 * MILLIS, this::disturb);
        network.at(HEALED_AT, () -> hosts.forEach(CoordinatorHost::resume));
        network.at(HEALED_AT, this::completeLast);
    }

    /** Runs until the last switchover is complete, within limits of simulated time and of events. */
    PromotionRun toEnd(Duration limitAfterFaults, long maxEvents) {
        while (!isComplete()) {
            boolean late = network.now() > HEALED_AT + limitAfterFaults.toNanos();
            if (late || network.eventCount() > maxEvents) {
                throw new Violation("no progress: " + platform.record());
            }
            network.step();
        }
        return this;
    }

    private boolean isComplete() {
        return lastStarted
                && hosts.stream().allMatch(CoordinatorHost::isIdle)
                && platform.record().state() == GroupState.OPEN
                && endpoint(platform.record().primary())
                        .serves(platform.record().term().number());
    }

    /** Starts one fault or one request and schedules the next. */
    private void disturb() {
        if (network.isHealed()) {
            return;
        }
        network.after(network.random.nextLong(50 * MILLIS, 600 * MILLIS), this::disturb);
        CoordinatorHost host = hosts.get(network.random.nextInt(2));
        long until = network.now() + network.random.nextLong(4_000 * MILLIS);
        switch (network.random.nextInt(10)) {
            case 0 -> isolate(network.random.nextInt(NODES), until);
            case 1 -> network.cut(network.random.nextInt(NODES), network.random.nextInt(NODES), until);
            case 2 -> host.pause(randomPause());
            case 3 -> host.restart();
            case 4 -> endpoints.get(network.random.nextInt(3)).restart();
            default -> {
                if (host.isIdle()) {
                    host.start(randomRequest());
                }
            }
        }
    }

    private void isolate(int node, long until) {
        IntStream.range(0, NODES).forEach(other -> network.cut(node, other, until));
    }

    private PromotionRequest randomRequest() {
        return switch (network.random.nextInt(8)) {
            case 0 -> new PromotionRequest.Resume();
            case 1 -> new PromotionRequest.Switchover(Optional.of(names.get(network.random.nextInt(3))));
            case 2, 3 -> new PromotionRequest.Switchover(Optional.empty());
            default -> new PromotionRequest.Unplanned(platform.record().term());
        };
    }

    /** Returns a length up to twice that of a lease. */
    long randomPause() {
        return network.random.nextLong(2 * guards.coordinator().leaseTtl().toNanos());
    }

    /** Without faults: resumes what is half done and makes one last switchover. */
    private void completeLast() {
        CoordinatorHost host = hosts.get(0);
        if (host.isIdle()) {
            boolean open = platform.record().state() == GroupState.OPEN;
            if (!open) {
                host.start(new PromotionRequest.Resume());
            } else if (!lastStarted) {
                lastStarted = true;
                host.start(new PromotionRequest.Switchover(Optional.empty()));
            }
        }
        network.after(500 * MILLIS, this::completeLast);
    }

    /** Pulls from whichever endpoint serves as primary; several may, in different terms. */
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
        check(lastWritten == null || record.fencingToken() >= lastWritten.fencingToken(), "fenced write");
        if (lastWritten != null && record.term().equals(lastWritten.term())) {
            if (record.state() == lastWritten.state()) {
                count(Event.TAKEN_OVER);
            } else if (record.state() == GroupState.CLOSING && lastWritten.state() == GroupState.PROMOTING) {
                count(Event.CANDIDATE_GIVEN_UP);
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

    /** The candidate receives its promotion. */
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
                check(agrees, "entry past the start of " + later);
            }
        }
        return report;
    }

    private void checkNothingLost(FakeEndpoint candidate, long term) {
        for (Acknowledged write : acknowledged) {
            boolean kept = write.term() != term - 1 || candidate.has(write.write(), write.position());
            check(kept, "planned loss of " + write);
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

    Duration timeAfterFaults() {
        return Duration.ofNanos(network.now() - HEALED_AT);
    }
}
