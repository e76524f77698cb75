package org.lavenderwick.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.lavenderwick.core.membership.CallSlot.Call;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;

import static com.google.common.base.Preconditions.checkState;

/**
 * Claims a seat for this process, keeps it and gives it back. No two live processes may use one seat, because each uses
 * the connection shares that belong to it.
 *
 * <ul>
 *   <li>The process acquires the seat's lease and then writes itself into the seat table by compare-and-swap. It uses a
 *       seat without a former holder at once.
 *   <li>It takes over a seat only if the holder is in its own failure domain, is missing from the host list, and let
 *       the lease lapse. After the write it waits {@link #SEAT_TAKEOVER_WAIT} before use, while peers spread the new
 *       table to the former holder, which stops using the seat.
 *   <li>A seat of an earlier incarnation with the same name and address is used at once: the listening socket proves
 *       that the earlier process has ended.
 *   <li>A holder that cannot reach the platform keeps its seat. A holder that was paused longer than
 *       {@link #PAUSE_THRESHOLD} uses its seat again only after the platform or a peer of its failure domain confirmed it.
 * </ul>
 *
 * <p>Each event returns the actions to perform; at most one platform call whose answer is reported is open at a time.
 * The caller reports {@link #tick} about once a second. Confined to the control thread.
 */
public final class SeatClaim {

    /** Time to live of a seat's lease. */
    public static final Duration LEASE_TTL = Duration.ofSeconds(30);

    /** Time between two renewals: two may fail before the lease lapses. */
    public static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(10);

    /** Wait between the write that takes over a seat and its use. */
    public static final Duration SEAT_TAKEOVER_WAIT = Duration.ofSeconds(10);

    /** Gap between two ticks that counts as a pause of the process; half of the takeover wait. */
    public static final Duration PAUSE_THRESHOLD = Duration.ofSeconds(5);

    private final DaemonName daemon;
    private final long incarnation;
    private final FailureDomain domain;
    private final String address;
    private final SeatCandidates candidates;
    private final SeatTimer timer;
    private final SeatTableView view = new SeatTableView();
    private final CallSlot slot = new CallSlot();

    private SeatPhase phase = SeatPhase.NEW;
    private SeatId leased;
    private Seat seat;
    private String formerAddress;
    private boolean using;
    private boolean suspended;
    private boolean leaseLost;
    private Duration suspendedAt = Duration.ZERO;
    private Duration usableFrom = Duration.ZERO;
    private Duration lastTick;

    private SeatClaim(
            DaemonName daemon, long incarnation, FailureDomain domain, String address, RandomGenerator random) {
        this.daemon = daemon;
        this.incarnation = incarnation;
        this.domain = domain;
        this.address = address;
        this.candidates = new SeatCandidates(daemon, domain, random);
        this.timer = new SeatTimer(random);
    }

    /** Returns a claim for the given process, which has no seat yet. */
    public static SeatClaim create(
            DaemonName daemon, long incarnation, FailureDomain domain, String address, RandomGenerator random) {
        return new SeatClaim(daemon, incarnation, domain, address, random);
    }

    /**
     * Returns the name under which this process holds leases. It has no incarnation, so that a process restarted at the
     * same address gets its leases back at once.
     */
    public String leaseHolder() {
        return daemon + "@" + address;
    }

    /** Returns the phase. */
    public SeatPhase phase() {
        return phase;
    }

    /** Returns the seat whose connection shares the process may use now. */
    public Optional<Seat> usableSeat() {
        return using ? Optional.of(seat) : Optional.empty();
    }

    /** Starts to claim a seat. */
    public List<SeatAction> start(Duration now) {
        checkState(phase == SeatPhase.NEW, "the claim has been started");
        phase = SeatPhase.CLAIMING;
        lastTick = now;
        return advance(now, new ArrayList<>());
    }

    /** Reports the passage of time. */
    public List<SeatAction> tick(Duration now) {
        List<SeatAction> actions = new ArrayList<>();
        boolean paused = lastTick != null && now.minus(lastTick).compareTo(PAUSE_THRESHOLD) > 0;
        lastTick = now;
        if (paused && isHolding()) {
            suspended = true;
            suspendedAt = now;
            timer.renewNow(now);
            stopUsing(actions);
        }
        return advance(now, actions);
    }

    /**
     * Reports the seat table as the platform has it.
     *
     * @param table the table, empty if the key does not exist
     * @param revision its revision, 0 if the key does not exist
     * @param live the daemons on the platform's list of hosts
     */
    public List<SeatAction> onRead(Duration now, Optional<SeatTable> table, long revision, Set<DaemonName> live) {
        slot.close(Call.READ);
        List<SeatAction> actions = new ArrayList<>();
        view.onRead(table.orElse(SeatTable.empty()), revision, live);
        adopt(now, view.read(), actions);
        return advance(now, actions);
    }

    /** Reports that the platform gave no answer to a read. */
    public List<SeatAction> onReadFailed(Duration now) {
        slot.close(Call.READ);
        timer.failed(now);
        return List.of();
    }

    /** Reports the answer to the acquisition or renewal of a lease. */
    public List<SeatAction> onLease(Duration now, LeaseOutcome answer) {
        Call call = slot.open();
        checkState(call == Call.ACQUIRE || call == Call.RENEW, "no lease call is open");
        slot.close(call);
        List<SeatAction> actions = new ArrayList<>();
        if (answer == LeaseOutcome.GRANTED) {
            if (isHolding()) {
                timer.succeeded();
            }
            leaseLost = false;
            suspended = false;
            timer.granted(now);
        } else if (answer == LeaseOutcome.UNKNOWN) {
            onLeaseUnknown(now);
        } else if (isHolding()) {
            onHolderRefused(now, call, actions);
        } else if (leased != null) {
            // Several daemons claim at once. Without a pause from the second refusal on, 720 of them make thousands of
            // calls a second.
            if (candidates.refuse(leased) > 1) {
                timer.failed(now);
            }
            leased = null;
        }
        return advance(now, actions);
    }

    /** Reports the answer to a write of the seat table. */
    public List<SeatAction> onWrite(Duration now, WriteOutcome answer) {
        slot.close(Call.WRITE);
        List<SeatAction> actions = new ArrayList<>();
        if (answer == WriteOutcome.WRITTEN) {
            timer.succeeded();
            adopt(now, view.proposal(), actions);
        } else {
            timer.failed(now);
        }
        view.forget();
        return advance(now, actions);
    }

    /** Reports a seat table that a peer sent or a watch delivered. Tables that are not newer have no effect. */
    public List<SeatAction> onTable(Duration now, SeatTable table) {
        List<SeatAction> actions = new ArrayList<>();
        adopt(now, table, actions);
        return advance(now, actions);
    }

    /** Reports an exchange with a peer of the own failure domain, after its news was applied. */
    public List<SeatAction> onPeerInSameDomain(Duration now, long peerTableVersion) {
        if (suspended && !leaseLost && peerTableVersion >= view.newest().version()) {
            suspended = false;
        }
        return advance(now, new ArrayList<>());
    }

    /** Marks the seat as leaving, so that its work moves to other owners while this process finishes its own. */
    public List<SeatAction> leave(Duration now) {
        view.forget();
        if (phase == SeatPhase.HELD) {
            phase = SeatPhase.LEAVING;
        } else if (phase != SeatPhase.LEAVING && phase != SeatPhase.FREED) {
            phase = SeatPhase.FREEING;
        }
        return advance(now, new ArrayList<>());
    }

    /** Gives the seat back. The caller has finished its work. Ends in {@link SeatPhase#FREED}. */
    public List<SeatAction> release(Duration now) {
        List<SeatAction> actions = new ArrayList<>();
        if (phase != SeatPhase.FREED) {
            stopUsing(actions);
            phase = SeatPhase.FREEING;
            view.forget();
        }
        return advance(now, actions);
    }

    private List<SeatAction> advance(Duration now, List<SeatAction> actions) {
        if (phase == SeatPhase.WAITING && now.compareTo(usableFrom) >= 0) {
            phase = SeatPhase.HELD;
        }
        if ((phase == SeatPhase.HELD || phase == SeatPhase.LEAVING) && !suspended && !using) {
            using = true;
            actions.add(new SeatAction.StartUsing(seat));
        }
        if (!slot.isFree() || !timer.mayCall(now)) {
            return actions;
        }
        switch (phase) {
            case CLAIMING -> claim(actions);
            case WAITING, HELD -> keep(now, actions);
            case LEAVING -> {
                if (seat.leaving()) {
                    keep(now, actions);
                } else {
                    markLeaving(actions);
                }
            }
            case FREEING -> giveBack(actions);
            default -> {
                // Nothing to do before the start and after the end.
            }
        }
        return actions;
    }

    private void claim(List<SeatAction> actions) {
        if (!view.isRead()) {
            slot.open(Call.READ, new SeatAction.ReadTable(), actions);
            return;
        }
        SeatId candidate = candidates.next(view.read(), view.liveDaemons(), leased);
        if (!candidate.equals(leased)) {
            releaseLease(actions);
            leased = candidate;
            slot.open(Call.ACQUIRE, new SeatAction.AcquireLease(candidate, LEASE_TTL), actions);
            return;
        }
        Optional<Seat> former = view.read().seat(candidate);
        formerAddress = former.filter(holder ->
                        !holder.daemon().equals(daemon) || !holder.address().equals(address))
                .map(Seat::address)
                .orElse(null);
        seat = new Seat(candidate.number(), domain, daemon, incarnation, address, false);
        slot.open(Call.WRITE, view.writeWith(seat), actions);
    }

    private void keep(Duration now, List<SeatAction> actions) {
        if (leaseLost && !view.isRead()) {
            slot.open(Call.READ, new SeatAction.ReadTable(), actions);
        } else if (leaseLost) {
            view.forget();
            slot.open(Call.ACQUIRE, new SeatAction.AcquireLease(leased, LEASE_TTL), actions);
        } else if (timer.renewalDue(now)) {
            slot.open(Call.RENEW, new SeatAction.RenewLease(leased), actions);
        }
    }

    private void markLeaving(List<SeatAction> actions) {
        if (!view.isRead()) {
            slot.open(Call.READ, new SeatAction.ReadTable(), actions);
        } else {
            slot.open(Call.WRITE, view.writeWith(seat.asLeaving()), actions);
        }
    }

    private void giveBack(List<SeatAction> actions) {
        if (seat == null) {
            releaseLease(actions);
            phase = SeatPhase.FREED;
        } else if (!view.isRead()) {
            slot.open(Call.READ, new SeatAction.ReadTable(), actions);
        } else {
            slot.open(Call.WRITE, view.writeWithout(seat.id()), actions);
        }
    }

    private void onLeaseUnknown(Duration now) {
        timer.failed(now);
        if (!isHolding()) {
            leased = null;
            view.forget();
        } else if (!leaseLost
                && !now.minus(SEAT_TAKEOVER_WAIT).minus(suspendedAt).isNegative()
                && view.hasOneSeatIn(domain)) {
            // A daemon of the failure domain that took the seat over would have been heard of by now.
            suspended = false;
        }
    }

    private void onHolderRefused(Duration now, Call call, List<SeatAction> actions) {
        if (call == Call.RENEW) {
            // The lease lapsed, as after a long outage of the platform. Nobody else need have acquired it.
            slot.open(Call.ACQUIRE, new SeatAction.AcquireLease(leased, LEASE_TTL), actions);
            return;
        }
        // Another process holds the lease and is about to take the seat over.
        leaseLost = true;
        suspended = true;
        view.forget();
        timer.failed(now);
        stopUsing(actions);
    }

    private void adopt(Duration now, SeatTable table, List<SeatAction> actions) {
        if (table.version() < view.newest().version()) {
            return;
        }
        if (view.adopt(table)) {
            actions.add(new SeatAction.InstallTable(table));
        }
        // A leaving mark that this process did not ask for comes from a retirement and ends the use of the seat.
        Optional<Seat> held = Optional.ofNullable(seat)
                .flatMap(own -> table.seat(own.id()))
                .filter(found -> found.isHeldBy(daemon, incarnation))
                .filter(found -> !found.leaving() || phase == SeatPhase.LEAVING || phase == SeatPhase.FREEING);
        if (held.isPresent()) {
            seat = held.get();
            if (phase == SeatPhase.CLAIMING) {
                onClaimed(now, actions);
            }
        } else if (phase == SeatPhase.FREEING) {
            seat = null;
        } else if (isHolding()) {
            onLost(actions);
        }
    }

    private void onClaimed(Duration now, List<SeatAction> actions) {
        candidates.clear();
        view.forget();
        if (formerAddress == null) {
            phase = SeatPhase.HELD;
        } else {
            phase = SeatPhase.WAITING;
            usableFrom = now.plus(SEAT_TAKEOVER_WAIT);
            actions.add(new SeatAction.NotifyFormerHolder(formerAddress));
        }
    }

    private void onLost(List<SeatAction> actions) {
        stopUsing(actions);
        boolean leaving = phase == SeatPhase.LEAVING;
        phase = leaving ? SeatPhase.FREEING : SeatPhase.CLAIMING;
        seat = null;
        leased = null;
        leaseLost = false;
        suspended = false;
        view.forget();
        candidates.clear();
    }

    private void stopUsing(List<SeatAction> actions) {
        if (using) {
            using = false;
            actions.add(new SeatAction.StopUsing(seat));
        }
    }

    private void releaseLease(List<SeatAction> actions) {
        if (leased != null) {
            actions.add(new SeatAction.ReleaseLease(leased));
            leased = null;
        }
    }

    private boolean isHolding() {
        return phase == SeatPhase.WAITING || phase == SeatPhase.HELD || phase == SeatPhase.LEAVING;
    }
}
