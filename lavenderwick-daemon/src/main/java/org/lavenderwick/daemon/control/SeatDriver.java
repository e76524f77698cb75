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
 * Component that claims and keeps the seat of this daemon, and removes the seats of dead daemons in its failure domain.
 * Confined to the control thread.
 */
final class SeatDriver {
    private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);
    private static final Logger LOG = Logger.getLogger(SeatDriver.class);

    private final EventLoop control;
    private final SeatClaim claim;
    private final DeadSeatRemoval deadSeatRemoval;
    private final SeatTableHolder holder;
    private final SeatCalls calls;
    private final ClaimMachine claimMachine = new ClaimMachine();
    private final RemovalMachine removalMachine = new RemovalMachine();
    private final Listener listener;

    /** Listener for changes of the seat table and of the seat of this daemon. */
    interface Listener {
        /** Called when a newer seat table has been installed. */
        void onTableInstalled(SeatTable table);

        /** Called with the address of the former holder of the seat, which may be alive and needs the newest table. */
        void onFormerHolder(String address);

        /** Called with the seat whose connection shares this daemon may use; empty if it must stop using them. */
        void onUsableSeatChanged(Optional<Seat> seat);
    }

    SeatDriver(
            EventLoop control,
            SeatClaim claim,
            DeadSeatRemoval deadSeatRemoval,
            SeatTableHolder holder,
            PlatformPort platform,
            Listener listener) {
        this.control = control;
        this.claim = claim;
        this.deadSeatRemoval = deadSeatRemoval;
        this.holder = holder;
        this.calls = new SeatCalls(platform, claim.leaseHolder(), control);
        this.listener = listener;
    }

    void start() {
        claimMachine.perform(claim.start(control.now()));
        control.scheduleAt(control.now().plus(TICK_INTERVAL), this::tick);
    }

    SeatPhase phase() {
        return claim.phase();
    }

    Optional<Seat> usableSeat() {
        return claim.usableSeat();
    }

    /** Handles a seat table received from a peer or read from the platform. */
    void onTable(SeatTable table) {
        claimMachine.perform(claim.onTable(control.now(), table));
        install(table);
    }

    /** Handles the version of the seat table of a peer in the same failure domain. */
    void onPeerInSameDomain(long tableVersion) {
        claimMachine.perform(claim.onPeerInSameDomain(control.now(), tableVersion));
    }

    /** Starts handing over the seat. */
    void leave() {
        claimMachine.perform(claim.leave(control.now()));
    }

    /** Releases the seat on the platform. */
    void release() {
        claimMachine.perform(claim.release(control.now()));
    }

    SeatCalls calls() {
        return calls;
    }

    private void tick() {
        control.scheduleAt(control.now().plus(TICK_INTERVAL), this::tick);
        claimMachine.perform(claim.tick(control.now()));
        removalMachine.perform(deadSeatRemoval.tick(control.now(), holder.table()));
    }

    private void install(SeatTable table) {
        if (holder.install(table)) {
            LOG.infof(
                    "[membership] Installed seat table version %d with %d seats.",
                    table.version(), table.seats().size());
            listener.onTableInstalled(table);
        }
    }

    private void performLocally(SeatAction action) {
        if (action instanceof SeatAction.InstallTable installed) {
            install(installed.table());
        } else if (action instanceof SeatAction.NotifyFormerHolder notify) {
            listener.onFormerHolder(notify.address());
        } else if (action instanceof SeatAction.StartUsing start) {
            LOG.infof("[membership] Started using seat %s.", start.seat().id());
            listener.onUsableSeatChanged(Optional.of(start.seat()));
        } else if (action instanceof SeatAction.StopUsing stop) {
            LOG.infof("[membership] Stopped using seat %s.", stop.seat().id());
            listener.onUsableSeatChanged(Optional.empty());
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
        public List<SeatAction> onLease(Duration now, LeaseOutcome outcome) {
            return claim.onLease(now, outcome);
        }

        @Override
        public List<SeatAction> onWrite(Duration now, WriteOutcome outcome) {
            return claim.onWrite(now, outcome);
        }

        @Override
        public void perform(List<SeatAction> actions) {
            for (SeatAction action : actions) {
                if (!calls.perform(action, this)) {
                    performLocally(action);
                }
            }
        }
    }

    private final class RemovalMachine implements SeatCalls.Machine {
        @Override
        public List<SeatAction> onRead(Duration now, Optional<SeatTable> table, long revision, Set<DaemonName> live) {
            return deadSeatRemoval.onRead(now, table, revision, live);
        }

        @Override
        public List<SeatAction> onReadFailed(Duration now) {
            return deadSeatRemoval.onReadFailed(now);
        }

        @Override
        public List<SeatAction> onLease(Duration now, LeaseOutcome outcome) {
            return deadSeatRemoval.onLease(now, outcome);
        }

        @Override
        public List<SeatAction> onWrite(Duration now, WriteOutcome outcome) {
            return deadSeatRemoval.onWrite(now, outcome);
        }

        @Override
        public void perform(List<SeatAction> actions) {
            for (SeatAction action : actions) {
                if (!calls.perform(action, this)) {
                    if (action instanceof SeatAction.InstallTable installed) {
                        onTable(installed.table());
                    } else {
                        performLocally(action);
                    }
                }
            }
        }
    }
}
