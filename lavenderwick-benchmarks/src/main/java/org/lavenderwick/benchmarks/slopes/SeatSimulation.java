package org.lavenderwick.benchmarks.slopes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;

import org.lavenderwick.core.membership.LeaseOutcome;
import org.lavenderwick.core.membership.SeatAction;
import org.lavenderwick.core.membership.SeatClaim;
import org.lavenderwick.core.membership.SeatId;
import org.lavenderwick.core.membership.SeatTable;
import org.lavenderwick.core.membership.WriteOutcome;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.time.TokenBucket;

/**
 * Real {@link SeatClaim} machines, each with its {@link TokenBucket}, against a platform in simulated time. A call
 * takes 5 ms; during an outage it ends without an answer after 2 s. Tables reach other daemons only by reads, as if the
 * exchange between daemons did not exist, so the figures are an upper bound of the calls.
 */
final class SeatSimulation {
    /** The budget that the daemon uses. */
    private static final int BURST = 100;

    private static final double RATE = 20;

    /** Shift of the index of a replacement; a multiple of the number of failure domains. */
    private static final int REPLACEMENT = 100 * Fleet.DOMAINS * Fleet.DOMAINS;

    private static final Duration ONE_WAY = Duration.ofNanos(2_500_000);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Duration TICK = Duration.ofSeconds(1);

    private final EventQueue time = new EventQueue();
    private final Random random;
    private final List<Claimant> claimants = new ArrayList<>();
    private final Map<SeatId, LeaseState> leases = new HashMap<>();
    private final Set<DaemonName> live = new HashSet<>();
    private final TreeMap<Long, long[]> callsBySecond = new TreeMap<>();
    private SeatTable table = SeatTable.empty();
    private long revision;
    private boolean down;
    private long conflicts;

    SeatSimulation(long seed) {
        this.random = new Random(seed);
    }

    private record LeaseState(int holder, Duration until) {}

    void table(SeatTable initial) {
        table = initial;
        revision = 1;
    }

    /** Starts a daemon at a time within the given spread. */
    void start(int index, Duration spread) {
        start(index, 0, spread);
    }

    /** Starts a daemon on a new host, under a new name, in the failure domain of the given daemon. */
    void startReplacement(int index, Duration spread) {
        start(index, REPLACEMENT, spread);
    }

    private void start(int index, int shift, Duration spread) {
        Claimant claimant = new Claimant(index + shift, new Random(random.nextLong()));
        claimants.add(claimant);
        live.add(Fleet.daemon(index + shift));
        time.after(Duration.ofNanos(random.nextLong(spread.toNanos())), claimant::start);
    }

    void run(Duration duration) {
        time.runUntil(time.now().plus(duration), () -> false);
    }

    /** Runs until each daemon uses a seat, and returns how long that took. */
    Duration settle(Duration bound) {
        Duration start = time.now();
        if (!time.runUntil(start.plus(bound), () -> claimants.stream().allMatch(Claimant::usesSeat))) {
            throw new IllegalStateException("some daemons have no seat after " + bound);
        }
        return time.now().minus(start);
    }

    void platformDown(boolean isDown) {
        down = isDown;
    }

    void forgetCounts() {
        callsBySecond.clear();
        conflicts = 0;
    }

    long calls() {
        return reads() + writes();
    }

    long reads() {
        return callsBySecond.values().stream().mapToLong(counts -> counts[0]).sum();
    }

    long writes() {
        return callsBySecond.values().stream().mapToLong(counts -> counts[1]).sum();
    }

    /** Returns the writes of the busiest second. */
    long peakWrites() {
        return callsBySecond.values().stream()
                .mapToLong(counts -> counts[1])
                .max()
                .orElse(0);
    }

    /** Returns the reads of the busiest second. */
    long peakReads() {
        return callsBySecond.values().stream()
                .mapToLong(counts -> counts[0])
                .max()
                .orElse(0);
    }

    private boolean count(Claimant claimant, int reads, int writes) {
        for (int i = 0; i < reads + writes; i++) {
            if (!claimant.budget.tryAcquire()) {
                return false;
            }
        }
        long[] counts = callsBySecond.computeIfAbsent(time.now().toSeconds(), second -> new long[2]);
        counts[0] += reads;
        counts[1] += writes;
        return true;
    }

    private final class Claimant {
        private final int index;
        private final SeatClaim claim;
        private final TokenBucket budget = TokenBucket.of(BURST, RATE, time);

        Claimant(int index, Random own) {
            this.index = index;
            this.claim = SeatClaim.create(
                    Fleet.daemon(index),
                    Fleet.seat(index, 1).incarnation(),
                    Fleet.domain(index % Fleet.DOMAINS),
                    Fleet.address(index),
                    own);
        }

        boolean usesSeat() {
            return claim.usableSeat().isPresent();
        }

        void start() {
            perform(claim.start(time.now()));
            time.after(TICK, this::tick);
        }

        private void tick() {
            perform(claim.tick(time.now()));
            time.after(TICK, this::tick);
        }

        private void perform(List<SeatAction> actions) {
            for (SeatAction action : actions) {
                if (action instanceof SeatAction.ReadTable) {
                    call(2, 0, this::read, () -> claim.onReadFailed(time.now()));
                } else if (action instanceof SeatAction.AcquireLease acquire) {
                    call(0, 1, () -> lease(acquire.seat(), true), () -> leaseAnswer(LeaseOutcome.UNKNOWN));
                } else if (action instanceof SeatAction.RenewLease renew) {
                    call(0, 1, () -> lease(renew.seat(), false), () -> leaseAnswer(LeaseOutcome.UNKNOWN));
                } else if (action instanceof SeatAction.ReleaseLease release) {
                    count(this, 0, 1);
                    leases.computeIfPresent(release.seat(), (id, held) -> held.holder == index ? null : held);
                } else if (action instanceof SeatAction.WriteTable write) {
                    call(0, 1, () -> write(write), () -> claim.onWrite(time.now(), WriteOutcome.UNKNOWN));
                }
            }
        }

        /** Makes a call: its effect takes place half way, its answer comes after the other half. */
        private void call(
                int reads,
                int writes,
                Supplier<Supplier<List<SeatAction>>> effect,
                Supplier<List<SeatAction>> failure) {
            if (!count(this, reads, writes)) {
                time.after(Duration.ZERO, () -> perform(failure.get()));
            } else if (down) {
                time.after(TIMEOUT, () -> perform(failure.get()));
            } else {
                time.after(ONE_WAY, () -> {
                    Supplier<List<SeatAction>> answer = effect.get();
                    time.after(ONE_WAY, () -> perform(answer.get()));
                });
            }
        }

        private Supplier<List<SeatAction>> read() {
            Optional<SeatTable> value = revision == 0 ? Optional.empty() : Optional.of(table);
            long seen = revision;
            Set<DaemonName> hosts = Set.copyOf(live);
            return () -> claim.onRead(time.now(), value, seen, hosts);
        }

        private Supplier<List<SeatAction>> lease(SeatId seat, boolean acquire) {
            LeaseState held = leases.get(seat);
            boolean valid = held != null && held.until.compareTo(time.now()) > 0;
            boolean granted = acquire ? !valid || held.holder == index : valid && held.holder == index;
            if (granted) {
                leases.put(seat, new LeaseState(index, time.now().plus(SeatClaim.LEASE_TTL)));
            }
            return () -> leaseAnswer(granted ? LeaseOutcome.GRANTED : LeaseOutcome.REFUSED);
        }

        private List<SeatAction> leaseAnswer(LeaseOutcome answer) {
            return claim.onLease(time.now(), answer);
        }

        private Supplier<List<SeatAction>> write(SeatAction.WriteTable write) {
            boolean written = write.expectedRevision() == revision;
            if (written) {
                table = write.table();
                revision++;
            } else {
                conflicts++;
            }
            return () -> claim.onWrite(time.now(), written ? WriteOutcome.WRITTEN : WriteOutcome.CONFLICT);
        }
    }

    /** Returns how many writes of the table lost against another one. */
    long conflicts() {
        return conflicts;
    }
}
