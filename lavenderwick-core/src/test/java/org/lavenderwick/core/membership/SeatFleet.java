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
 * A fleet of seat claims around a simulated platform, in steps of one second by default. Platform calls may be lost before or
 * after they take effect; processes may be paused, killed or cut off from the platform.
 */
final class SeatFleet {

    final Random random;
    final List<Process> processes = new ArrayList<>();
    Duration now = Duration.ofHours(1);
    boolean platformUp = true;
    int answersPerStep = 8;
    Duration step = Duration.ofSeconds(1);
    int stepsPerTick = 1;
    private int steps;
    int calls;
    SeatTable platformTable;
    long revision;
    private final Map<SeatId, LeaseEntry> leases = new HashMap<>();

    SeatFleet(long seed) {
        random = new Random(seed);
    }

    Process start(String name, String domain) {
        Process process = new Process(name, FailureDomain.of(domain), processes.size() + 1);
        processes.add(process);
        process.perform(process.claim.start(now));
        return process;
    }

    /** Runs a number of steps; each process ticks once in {@link #stepsPerTick} steps, at its own phase. */
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

    /** Returns the seats that more than one running process uses. */
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

    Set<DaemonName> hosts() {
        Set<DaemonName> live = new HashSet<>();
        processes.stream().filter(process -> process.listed).forEach(process -> live.add(process.name));
        return live;
    }

    private record LeaseEntry(String holder, Duration lapsesAt) {}

    final class Process {

        final DaemonName name;
        final FailureDomain domain;
        final SeatClaim claim;
        final List<SeatAction> performed = new ArrayList<>();
        boolean alive = true;
        boolean listed = true;
        boolean connected = true;
        double lossRate;
        Duration pausedUntil = Duration.ZERO;
        SeatTable table = SeatTable.empty();
        private final int phase;
        private final Deque<SeatAction> openCalls = new ArrayDeque<>();

        private Process(String name, FailureDomain domain, long incarnation) {
            this.name = DaemonName.of(name);
            this.domain = domain;
            this.phase = (int) incarnation;
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
                    openCalls.add(action);
                }
            }
        }

        void step() {
            if ((steps + phase) % stepsPerTick == 0) {
                perform(claim.tick(now));
            }
            for (int answers = 0; answers < answersPerStep && !openCalls.isEmpty(); answers++) {
                answer(openCalls.poll());
            }
        }

        private void answer(SeatAction action) {
            calls++;
            boolean lost = !platformUp || !connected || random.nextDouble() < lossRate;
            boolean takesEffect = platformUp && connected && (!lost || random.nextBoolean());
            if (action instanceof SeatAction.ReadTable) {
                perform(
                        lost
                                ? claim.onReadFailed(now)
                                : claim.onRead(now, Optional.ofNullable(platformTable), revision, hosts()));
            } else if (action instanceof SeatAction.AcquireLease acquire) {
                boolean granted = takesEffect && grant(acquire.seat(), false);
                perform(claim.onLease(now, lost ? LeaseOutcome.UNKNOWN : leaseAnswer(granted)));
            } else if (action instanceof SeatAction.RenewLease renew) {
                boolean granted = takesEffect && grant(renew.seat(), true);
                perform(claim.onLease(now, lost ? LeaseOutcome.UNKNOWN : leaseAnswer(granted)));
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

        private LeaseOutcome leaseAnswer(boolean granted) {
            return granted ? LeaseOutcome.GRANTED : LeaseOutcome.REFUSED;
        }

        private boolean grant(SeatId seat, boolean mustHold) {
            LeaseEntry entry = leases.get(seat);
            boolean held = entry != null && entry.lapsesAt().compareTo(now) > 0;
            boolean own = held && entry.holder().equals(claim.leaseHolder());
            if (own || !held && !mustHold) {
                leases.put(seat, new LeaseEntry(claim.leaseHolder(), now.plus(SeatClaim.LEASE_TTL)));
                return true;
            }
            return false;
        }
    }
}
