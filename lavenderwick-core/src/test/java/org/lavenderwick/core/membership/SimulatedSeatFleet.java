package org.lavenderwick.core.membership;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;

/**
 * A simulated fleet of seat claims and their platform, run in steps of one second by default. Platform calls can be
 * lost before or after they take effect. Processes can be paused, killed or disconnected from the platform.
 */
final class SimulatedSeatFleet {

    final Random random;
    final List<Process> processes = new ArrayList<>();
    Duration now = Duration.ofHours(1);
    boolean platformUp = true;
    int responsesPerStep = 8;
    Duration step = Duration.ofSeconds(1);
    int stepsPerTick = 1;
    private int steps;
    int calls;
    SeatTable platformTable;
    long revision;
    private final Map<SeatId, LeaseEntry> leases = new HashMap<>();

    SimulatedSeatFleet(long seed) {
        random = new Random(seed);
    }

    Process start(String name, String domain) {
        Process process = new Process(name, FailureDomain.of(domain), processes.size() + 1);
        processes.add(process);
        process.perform(process.claim.start(now));
        return process;
    }

    /** Runs the given number of steps. Each process ticks once every {@link #stepsPerTick} steps, at its own offset. */
    void run(int count) {
        for (int index = 0; index < count; index++) {
            now = now.plus(step);
            steps++;
            processes.stream().filter(Process::isRunning).forEach(Process::step);
        }
    }

    void gossip() {
        for (Process sender : processes) {
            for (Process receiver : processes) {
                if (sender != receiver
                        && sender.isRunning()
                        && receiver.isRunning()
                        && sender.domain.equals(receiver.domain)) {
                    receiver.perform(receiver.claim.onTable(now, sender.table));
                    receiver.perform(receiver.claim.onPeerInSameDomain(now, sender.table.version()));
                }
            }
        }
    }

    /** Returns the seats that are used by more than one running process. */
    Set<SeatId> seatsUsedTwice() {
        Set<SeatId> seen = new HashSet<>();
        Set<SeatId> twice = new HashSet<>();
        for (Process process : processes) {
            if (process.isRunning()) {
                process.claim
                        .usableSeat()
                        .map(Seat::id)
                        .filter(id -> !seen.add(id))
                        .ifPresent(twice::add);
            }
        }
        return twice;
    }

    Set<DaemonName> hostList() {
        Set<DaemonName> daemons = new HashSet<>();
        processes.stream().filter(process -> process.inHostList).forEach(process -> daemons.add(process.name));
        return daemons;
    }

    private record LeaseEntry(String holder, Duration expiresAt) {}

    final class Process {

        final DaemonName name;
        final FailureDomain domain;
        final SeatClaim claim;
        final List<SeatAction> performed = new ArrayList<>();
        boolean alive = true;
        boolean inHostList = true;
        boolean connected = true;
        double callLossRate;
        Duration pausedUntil = Duration.ZERO;
        SeatTable table = SeatTable.empty();
        private final int tickOffset;
        private final Deque<SeatAction> pendingCalls = new ArrayDeque<>();

        private Process(String name, FailureDomain domain, long incarnation) {
            this.name = DaemonName.of(name);
            this.domain = domain;
            this.tickOffset = (int) incarnation;
            this.claim = SeatClaim.create(this.name, incarnation, domain, "127.0.1." + incarnation + ":1", random);
        }

        boolean isRunning() {
            return alive && now.compareTo(pausedUntil) >= 0;
        }

        void perform(List<SeatAction> actions) {
            performed.addAll(actions);
            for (SeatAction action : actions) {
                if (action instanceof SeatAction.InstallTable install) {
                    table = install.table();
                } else if (action instanceof SeatAction.ReleaseLease release) {
                    leases.computeIfPresent(
                            release.seat(), (id, entry) -> entry.holder().equals(claim.leaseHolder()) ? null : entry);
                } else {
                    pendingCalls.add(action);
                }
            }
        }

        void step() {
            if ((steps + tickOffset) % stepsPerTick == 0) {
                perform(claim.tick(now));
            }
            for (int responses = 0; responses < responsesPerStep && !pendingCalls.isEmpty(); responses++) {
                respond(pendingCalls.poll());
            }
        }

        private void respond(SeatAction action) {
            calls++;
            boolean lost = !platformUp || !connected || random.nextDouble() < callLossRate;
            boolean takesEffect = platformUp && connected && (!lost || random.nextBoolean());
            if (action instanceof SeatAction.ReadTable) {
                perform(
                        lost
                                ? claim.onReadFailed(now)
                                : claim.onRead(now, Optional.ofNullable(platformTable), revision, hostList()));
            } else if (action instanceof SeatAction.AcquireLease acquire) {
                boolean granted = takesEffect && grant(acquire.seat(), false);
                perform(claim.onLease(now, lost ? LeaseOutcome.UNKNOWN : leaseOutcome(granted)));
            } else if (action instanceof SeatAction.RenewLease renew) {
                boolean granted = takesEffect && grant(renew.seat(), true);
                perform(claim.onLease(now, lost ? LeaseOutcome.UNKNOWN : leaseOutcome(granted)));
            } else if (action instanceof SeatAction.WriteTable write) {
                boolean written = takesEffect && write.expectedRevision() == revision;
                if (written) {
                    platformTable = write.table();
                    revision++;
                }
                perform(claim.onWrite(
                        now, lost ? WriteOutcome.UNKNOWN : written ? WriteOutcome.WRITTEN : WriteOutcome.CONFLICT));
            }
        }

        private LeaseOutcome leaseOutcome(boolean granted) {
            return granted ? LeaseOutcome.GRANTED : LeaseOutcome.REFUSED;
        }

        private boolean grant(SeatId seat, boolean mustHold) {
            LeaseEntry entry = leases.get(seat);
            boolean held = entry != null && entry.expiresAt().compareTo(now) > 0;
            boolean own = held && entry.holder().equals(claim.leaseHolder());
            if (own || !held && !mustHold) {
                leases.put(seat, new LeaseEntry(claim.leaseHolder(), now.plus(SeatClaim.LEASE_TTL)));
                return true;
            }
            return false;
        }
    }
}
