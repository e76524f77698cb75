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
 * The state machine with which a process acquires, maintains and releases its seat. Two live processes must never use
 * the same seat, because both would use its connection shares.
 *
 * <ul>
 *   <li>To acquire a seat, the process acquires the lease of the seat and then adds itself to the seat table by
 *       compare-and-swap. A seat without a former holder can be used immediately.
 *   <li>A seat is taken over only if its holder is in the same failure domain, is missing from the host list and has
 *       let its lease expire. After the write, the process waits for {@link #SEAT_TAKEOVER_WAIT} before it uses the
 *       seat. Meanwhile peers send the new table to the former holder, which then stops using the seat.
 *   <li>A seat held by an earlier incarnation with the same name and address can be used immediately: the new process
 *       could bind the address only because the earlier one has ended.
 *   <li>A holder that cannot reach the platform keeps its seat. After a pause longer than {@link #PAUSE_THRESHOLD}, a
 *       holder stops using its seat until the platform or a peer in its failure domain confirms that it still holds it.
 *       If there is no such peer, {@link #SEAT_TAKEOVER_WAIT} without a response from the platform is sufficient.
 * </ul>
 *
 * <p>Every method that reports an event returns the actions to perform. Of the platform calls whose results are
 * reported, at most one is pending at a time. The caller invokes {@link #tick} about once per second. Confined to the
 * control thread.
 */
public final class SeatClaim {

    /** Time to live of the lease of a seat. */
    public static final Duration LEASE_TTL = Duration.ofSeconds(30);

    /** Interval between lease renewals. Two can fail before the lease expires. */
    public static final Duration RENEWAL_INTERVAL = Duration.ofSeconds(10);

    /** Delay between the write that takes over a seat and the first use of the seat. */
    public static final Duration SEAT_TAKEOVER_WAIT = Duration.ofSeconds(10);

    /** Time between ticks above which the process counts as paused; half of {@link #SEAT_TAKEOVER_WAIT}. */
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
    private SeatId leasedSeat;
    private Seat seat;
    private String formerHolderAddress;
    private boolean inUse;
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

    /** Returns a claim for the given process, which does not hold a seat yet. */
    public static SeatClaim create(
            DaemonName daemon, long incarnation, FailureDomain domain, String address, RandomGenerator random) {
        return new SeatClaim(daemon, incarnation, domain, address, random);
    }

    /**
     * Returns the holder name that this process uses for leases. It does not contain the incarnation, so that a process
     * restarted at the same address can acquire its leases again immediately.
     */
    public String leaseHolder() {
        return daemon + "@" + address;
    }

    /** Returns the current phase of the claim. */
    public SeatPhase phase() {
        return phase;
    }

    /** Returns the seat whose connection shares the process may use now, or empty if there is none. */
    public Optional<Seat> usableSeat() {
        return inUse ? Optional.of(seat) : Optional.empty();
    }

    /** Starts claiming a seat. Called once. */
    public List<SeatAction> start(Duration now) {
        checkState(phase == SeatPhase.NEW, "claim was already started");
        phase = SeatPhase.CLAIMING;
        lastTick = now;
        return advance(now, new ArrayList<>());
    }

    /** Reports the current time. */
    public List<SeatAction> tick(Duration now) {
        List<SeatAction> actions = new ArrayList<>();
        boolean paused = lastTick != null && now.minus(lastTick).compareTo(PAUSE_THRESHOLD) > 0;
        lastTick = now;
        if (paused && holdsSeat()) {
            suspended = true;
            suspendedAt = now;
            timer.makeRenewalDue(now);
            stopUsing(actions);
        }
        return advance(now, actions);
    }

    /**
     * Reports the seat table and the host list that were read from the platform.
     *
     * @param table the seat table, or empty if its key does not exist
     * @param revision the revision of the key, or 0 if it does not exist
     * @param live the daemons in the host list
     */
    public List<SeatAction> onRead(Duration now, Optional<SeatTable> table, long revision, Set<DaemonName> live) {
        slot.complete(Call.READ);
        List<SeatAction> actions = new ArrayList<>();
        view.onRead(table.orElse(SeatTable.empty()), revision, live);
        applyTable(now, view.lastRead(), actions);
        return advance(now, actions);
    }

    /** Reports that a read failed. */
    public List<SeatAction> onReadFailed(Duration now) {
        slot.complete(Call.READ);
        timer.onFailure(now);
        return List.of();
    }

    /** Reports the outcome of acquiring or renewing a lease. */
    public List<SeatAction> onLease(Duration now, LeaseOutcome outcome) {
        Call call = slot.pending();
        checkState(call == Call.ACQUIRE || call == Call.RENEW, "no lease request is pending");
        slot.complete(call);
        List<SeatAction> actions = new ArrayList<>();
        if (outcome == LeaseOutcome.GRANTED) {
            if (holdsSeat()) {
                timer.onSuccess();
            }
            leaseLost = false;
            suspended = false;
            timer.onLeaseGranted(now);
        } else if (outcome == LeaseOutcome.UNKNOWN) {
            onLeaseUnknown(now);
        } else if (holdsSeat()) {
            onHeldLeaseRefused(now, call, actions);
        } else if (leasedSeat != null) {
            // Many daemons may claim seats at the same time. Without a delay from the second refusal on, 720 daemons
            // make thousands of calls per second.
            if (candidates.addRefused(leasedSeat) > 1) {
                timer.onFailure(now);
            }
            leasedSeat = null;
        }
        return advance(now, actions);
    }

    /** Reports the outcome of writing the seat table. */
    public List<SeatAction> onWrite(Duration now, WriteOutcome outcome) {
        slot.complete(Call.WRITE);
        List<SeatAction> actions = new ArrayList<>();
        if (outcome == WriteOutcome.WRITTEN) {
            timer.onSuccess();
            applyTable(now, view.proposal(), actions);
        } else {
            timer.onFailure(now);
        }
        view.discardRead();
        return advance(now, actions);
    }

    /** Reports a seat table received from a peer or a platform watch. Tables that are not newer have no effect. */
    public List<SeatAction> onTable(Duration now, SeatTable table) {
        List<SeatAction> actions = new ArrayList<>();
        applyTable(now, table, actions);
        return advance(now, actions);
    }

    /** Reports an exchange with a peer in the same failure domain, after its documents were installed. */
    public List<SeatAction> onPeerInSameDomain(Duration now, long peerTableVersion) {
        if (suspended && !leaseLost && peerTableVersion >= view.newest().version()) {
            suspended = false;
        }
        return advance(now, new ArrayList<>());
    }

    /** Marks the seat as leaving: other owners get the new work while this process completes its work in progress. */
    public List<SeatAction> leave(Duration now) {
        view.discardRead();
        if (phase == SeatPhase.HELD) {
            phase = SeatPhase.LEAVING;
        } else if (phase != SeatPhase.LEAVING && phase != SeatPhase.FREED) {
            phase = SeatPhase.FREEING;
        }
        return advance(now, new ArrayList<>());
    }

    /** Releases the seat. Called when no work is in progress. The claim ends in {@link SeatPhase#FREED}. */
    public List<SeatAction> release(Duration now) {
        List<SeatAction> actions = new ArrayList<>();
        if (phase != SeatPhase.FREED) {
            stopUsing(actions);
            phase = SeatPhase.FREEING;
            view.discardRead();
        }
        return advance(now, actions);
    }

    private List<SeatAction> advance(Duration now, List<SeatAction> actions) {
        if (phase == SeatPhase.WAITING && now.compareTo(usableFrom) >= 0) {
            phase = SeatPhase.HELD;
        }
        if ((phase == SeatPhase.HELD || phase == SeatPhase.LEAVING) && !suspended && !inUse) {
            inUse = true;
            actions.add(new SeatAction.StartUsing(seat));
        }
        if (!slot.isFree() || !timer.isCallAllowed(now)) {
            return actions;
        }
        switch (phase) {
            case CLAIMING -> claim(actions);
            case WAITING, HELD -> maintainLease(now, actions);
            case LEAVING -> {
                if (seat.leaving()) {
                    maintainLease(now, actions);
                } else {
                    markLeaving(actions);
                }
            }
            case FREEING -> releaseSeat(actions);
            default -> {
                // No calls are needed before the start and after the release.
            }
        }
        return actions;
    }

    private void claim(List<SeatAction> actions) {
        if (!view.hasRead()) {
            slot.begin(Call.READ, new SeatAction.ReadTable(), actions);
            return;
        }
        SeatId candidate = candidates.next(view.lastRead(), view.liveDaemons(), leasedSeat);
        if (!candidate.equals(leasedSeat)) {
            releaseLease(actions);
            leasedSeat = candidate;
            slot.begin(Call.ACQUIRE, new SeatAction.AcquireLease(candidate, LEASE_TTL), actions);
            return;
        }
        Optional<Seat> former = view.lastRead().seat(candidate);
        formerHolderAddress = former.filter(holder ->
                        !holder.daemon().equals(daemon) || !holder.address().equals(address))
                .map(Seat::address)
                .orElse(null);
        seat = new Seat(candidate.number(), domain, daemon, incarnation, address, false);
        slot.begin(Call.WRITE, view.writeWith(seat), actions);
    }

    private void maintainLease(Duration now, List<SeatAction> actions) {
        if (leaseLost && !view.hasRead()) {
            slot.begin(Call.READ, new SeatAction.ReadTable(), actions);
        } else if (leaseLost) {
            view.discardRead();
            slot.begin(Call.ACQUIRE, new SeatAction.AcquireLease(leasedSeat, LEASE_TTL), actions);
        } else if (timer.isRenewalDue(now)) {
            slot.begin(Call.RENEW, new SeatAction.RenewLease(leasedSeat), actions);
        }
    }

    private void markLeaving(List<SeatAction> actions) {
        if (!view.hasRead()) {
            slot.begin(Call.READ, new SeatAction.ReadTable(), actions);
        } else {
            slot.begin(Call.WRITE, view.writeWith(seat.asLeaving()), actions);
        }
    }

    private void releaseSeat(List<SeatAction> actions) {
        if (seat == null) {
            releaseLease(actions);
            phase = SeatPhase.FREED;
        } else if (!view.hasRead()) {
            slot.begin(Call.READ, new SeatAction.ReadTable(), actions);
        } else {
            slot.begin(Call.WRITE, view.writeWithout(seat.id()), actions);
        }
    }

    private void onLeaseUnknown(Duration now) {
        timer.onFailure(now);
        if (!holdsSeat()) {
            leasedSeat = null;
            view.discardRead();
        } else if (!leaseLost
                && !now.minus(SEAT_TAKEOVER_WAIT).minus(suspendedAt).isNegative()
                && view.hasAtMostOneSeatIn(domain)) {
            // No peer can confirm the seat, but a daemon that took it over would have sent the new table by now.
            suspended = false;
        }
    }

    private void onHeldLeaseRefused(Duration now, Call call, List<SeatAction> actions) {
        if (call == Call.RENEW) {
            // The lease expired, for example in a platform outage. It may still be free to acquire.
            slot.begin(Call.ACQUIRE, new SeatAction.AcquireLease(leasedSeat, LEASE_TTL), actions);
            return;
        }
        // Another process holds the lease and is about to take over the seat.
        leaseLost = true;
        suspended = true;
        view.discardRead();
        timer.onFailure(now);
        stopUsing(actions);
    }

    private void applyTable(Duration now, SeatTable table, List<SeatAction> actions) {
        if (table.version() < view.newest().version()) {
            return;
        }
        if (view.updateNewest(table)) {
            actions.add(new SeatAction.InstallTable(table));
        }
        // If this process did not mark the seat as leaving, a DeadSeatRemoval did, and the process must stop using it.
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
        } else if (holdsSeat()) {
            onSeatLost(actions);
        }
    }

    private void onClaimed(Duration now, List<SeatAction> actions) {
        candidates.clearRefused();
        view.discardRead();
        if (formerHolderAddress == null) {
            phase = SeatPhase.HELD;
        } else {
            phase = SeatPhase.WAITING;
            usableFrom = now.plus(SEAT_TAKEOVER_WAIT);
            actions.add(new SeatAction.NotifyFormerHolder(formerHolderAddress));
        }
    }

    private void onSeatLost(List<SeatAction> actions) {
        stopUsing(actions);
        boolean leaving = phase == SeatPhase.LEAVING;
        phase = leaving ? SeatPhase.FREEING : SeatPhase.CLAIMING;
        seat = null;
        leasedSeat = null;
        leaseLost = false;
        suspended = false;
        view.discardRead();
        candidates.clearRefused();
    }

    private void stopUsing(List<SeatAction> actions) {
        if (inUse) {
            inUse = false;
            actions.add(new SeatAction.StopUsing(seat));
        }
    }

    private void releaseLease(List<SeatAction> actions) {
        if (leasedSeat != null) {
            actions.add(new SeatAction.ReleaseLease(leasedSeat));
            leasedSeat = null;
        }
    }

    private boolean holdsSeat() {
        return phase == SeatPhase.WAITING || phase == SeatPhase.HELD || phase == SeatPhase.LEAVING;
    }
}
