package org.lavenderwick.daemon.control;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.jboss.logging.Logger;
import org.lavenderwick.adapters.platform.PlatformPort;
import org.lavenderwick.core.membership.DeadSeatRemoval;
import org.lavenderwick.core.membership.LeaseOutcome;
import org.lavenderwick.core.membership.Seat;
import org.lavenderwick.core.membership.SeatAction;
import org.lavenderwick.core.membership.SeatClaim;
import org.lavenderwick.core.membership.SeatPhase;
import org.lavenderwick.core.membership.SeatTable;
import org.lavenderwick.core.membership.SeatTableHolder;
import org.lavenderwick.core.membership.WriteOutcome;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.daemon.group.EventLoop;

/**
 * Claims and keeps the seat of this daemon, and removes the seats of dead daemons of its failure domain. Confined to
 * the control thread.
 */
final class SeatDriver {
    private static final Duration TICK = Duration.ofSeconds(1);
    private static final Logger LOG = Logger.getLogger(SeatDriver.class);

    private final EventLoop control;
    private final SeatClaim claim;
    private final DeadSeatRemoval retirement;
    private final SeatTableHolder holder;
    private final SeatCalls calls;
    private final ClaimMachine claimMachine = new ClaimMachine();
    private final RetirementMachine retirementMachine = new RetirementMachine();
    private final Events events;

    /** What the rest of the daemon learns. */
    interface Events {
        /** A newer seat table is in force. */
        void tableInstalled(SeatTable table);

        /** The former holder of the seat may still be alive and should get the newest table. */
        void notifyFormerHolder(String address);

        /** The daemon may use the connection shares of its seat, or must not any more. */
        void usableSeat(Optional<Seat> seat);
    }

    SeatDriver(
            EventLoop control,
            SeatClaim claim,
            DeadSeatRemoval retirement,
            SeatTableHolder holder,
            PlatformPort platform,
            Events events) {
        this.control = control;
        this.claim = claim;
        this.retirement = retirement;
        this.holder = holder;
        this.calls = new SeatCalls(platform, claim.leaseHolder(), control);
        this.events = events;
    }

    void start() {
        claimMachine.perform(claim.start(control.now()));
        control.scheduleAt(control.now().plus(TICK), this::tick);
    }

    SeatPhase phase() {
        return claim.phase();
    }

    Optional<Seat> usableSeat() {
        return claim.usableSeat();
    }

    /** Takes a table that a peer or the platform has. */
    void tableSeen(SeatTable table) {
        claimMachine.perform(claim.onTable(control.now(), table));
        install(table);
    }

    void peerOfOwnDomain(long tableVersion) {
        claimMachine.perform(claim.onPeerInSameDomain(control.now(), tableVersion));
    }

    void leave() {
        claimMachine.perform(claim.leave(control.now()));
    }

    void free() {
        claimMachine.perform(claim.release(control.now()));
    }

    SeatCalls calls() {
        return calls;
    }

    private void tick() {
        control.scheduleAt(control.now().plus(TICK), this::tick);
        claimMachine.perform(claim.tick(control.now()));
        retirementMachine.perform(retirement.tick(control.now(), holder.table()));
    }

    private void install(SeatTable table) {
        if (holder.install(table)) {
            LOG.infof(
                    "[membership] Seat table %d with %d seats is in force.",
                    table.version(), table.seats().size());
            events.tableInstalled(table);
        }
    }

    private void other(SeatAction action) {
        if (action instanceof SeatAction.InstallTable installed) {
            install(installed.table());
        } else if (action instanceof SeatAction.NotifyFormerHolder notify) {
            events.notifyFormerHolder(notify.address());
        } else if (action instanceof SeatAction.StartUsing start) {
            LOG.infof("[membership] Uses seat %s.", start.seat().id());
            events.usableSeat(Optional.of(start.seat()));
        } else if (action instanceof SeatAction.StopUsing stop) {
            LOG.infof("[membership] Stops using seat %s.", stop.seat().id());
            events.usableSeat(Optional.empty());
        }
    }

    private final class ClaimMachine implements SeatCalls.Machine {
        @Override
        public List<SeatAction> onRead(Duration now, Optional<SeatTable> table, long revision, Set<DaemonName> live) {
            return claim.onRead(now, table, revision, live);
        }

        @Override
        public List<SeatAction> onReadFailed(Duration now) {
            return claim.onReadFailed(now);
        }

        @Override
        public List<SeatAction> onLease(Duration now, LeaseOutcome answer) {
            return claim.onLease(now, answer);
        }

        @Override
        public List<SeatAction> onWrite(Duration now, WriteOutcome answer) {
            return claim.onWrite(now, answer);
        }

        @Override
        public void perform(List<SeatAction> actions) {
            for (SeatAction action : actions) {
                if (!calls.perform(action, this)) {
                    other(action);
                }
            }
        }
    }

    private final class RetirementMachine implements SeatCalls.Machine {
        @Override
        public List<SeatAction> onRead(Duration now, Optional<SeatTable> table, long revision, Set<DaemonName> live) {
            return retirement.onRead(now, table, revision, live);
        }

        @Override
        public List<SeatAction> onReadFailed(Duration now) {
            return retirement.onReadFailed(now);
        }

        @Override
        public List<SeatAction> onLease(Duration now, LeaseOutcome answer) {
            return retirement.onLease(now, answer);
        }

        @Override
        public List<SeatAction> onWrite(Duration now, WriteOutcome answer) {
            return retirement.onWrite(now, answer);
        }

        @Override
        public void perform(List<SeatAction> actions) {
            for (SeatAction action : actions) {
                if (!calls.perform(action, this)) {
                    if (action instanceof SeatAction.InstallTable installed) {
                        tableSeen(installed.table());
                    } else {
                        other(action);
                    }
                }
            }
        }
    }
}
