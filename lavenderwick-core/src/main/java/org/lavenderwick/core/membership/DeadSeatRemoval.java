package org.lavenderwick.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;

import static com.google.common.base.Preconditions.checkState;

/**
 * The state machine that removes seats of dead daemons from the seat table if no other daemon takes them over.
 * Otherwise database groups would keep owners that never respond.
 *
 * <p>Each watcher (see {@link SeatTable#watchers}) does this for its own failure domain. As for a takeover, the holder
 * must be missing from the host list and its lease must have expired. The seat is first marked as leaving. After
 * {@link SeatClaim#SEAT_TAKEOVER_WAIT}, in which a holder that is still alive stops using the seat, it is removed.
 *
 * <p>Seats are removed one at a time. After a failed attempt, the next check starts over. Confined to the control
 * thread.
 */
public final class DeadSeatRemoval {

    /** Interval between checks, unless more dead daemons may remain. */
    public static final Duration CHECK_INTERVAL = Duration.ofSeconds(30);

    /** Interval before the next check when more dead daemons may remain. */
    private static final Duration SHORT_CHECK_INTERVAL = Duration.ofSeconds(1);

    private enum Step {
        IDLE,
        READING,
        ACQUIRING,
        MARKING,
        WAITING,
        READING_AGAIN,
        REMOVING
    }

    private final DaemonName daemon;
    private final FailureDomain domain;
    private final RandomGenerator random;
    private final SeatTableView view = new SeatTableView();
    private Step step = Step.IDLE;
    private SeatId targetSeat;
    private Duration dueAt;

    private DeadSeatRemoval(DaemonName daemon, FailureDomain domain, RandomGenerator random) {
        this.daemon = daemon;
        this.domain = domain;
        this.random = random;
    }

    /** Returns the seat removal that the given daemon runs for its failure domain. */
    public static DeadSeatRemoval create(DaemonName daemon, FailureDomain domain, RandomGenerator random) {
        return new DeadSeatRemoval(daemon, domain, random);
    }

    /**
     * Reports the current time.
     *
     * @param table the newest table, which determines whether the daemon is a watcher
     */
    public List<SeatAction> tick(Duration now, SeatTable table) {
        view.updateNewest(table);
        if (dueAt == null) {
            // A random first delay, so that the watchers of a restarted fleet do not all check at the same time.
            dueAt = now.plusMillis(random.nextLong(CHECK_INTERVAL.toMillis()));
        }
        if (now.compareTo(dueAt) < 0) {
            return List.of();
        }
        if (step == Step.WAITING) {
            step = Step.READING_AGAIN;
            return List.of(new SeatAction.ReadTable());
        }
        boolean watcher =
                table.watchers(domain).stream().anyMatch(seat -> seat.daemon().equals(daemon));
        if (step == Step.IDLE && watcher) {
            step = Step.READING;
            return List.of(new SeatAction.ReadTable());
        }
        return List.of();
    }

    /** Reports the seat table and the host list that were read from the platform; see {@link SeatClaim#onRead}. */
    public List<SeatAction> onRead(Duration now, Optional<SeatTable> table, long revision, Set<DaemonName> live) {
        checkState(step == Step.READING || step == Step.READING_AGAIN, "no read is pending");
        view.onRead(table.orElse(SeatTable.empty()), revision, live);
        List<SeatAction> actions = new ArrayList<>();
        if (view.updateNewest(view.lastRead())) {
            actions.add(new SeatAction.InstallTable(view.lastRead()));
        }
        if (step == Step.READING) {
            List<Seat> dead = view.lastRead().seatsIn(domain).stream()
                    .filter(this::isDead)
                    .toList();
            if (dead.isEmpty()) {
                endAttempt(now, CHECK_INTERVAL, actions);
            } else {
                targetSeat = dead.get(random.nextInt(dead.size())).id();
                step = Step.ACQUIRING;
                actions.add(new SeatAction.AcquireLease(targetSeat, SeatClaim.LEASE_TTL));
            }
        } else if (view.lastRead()
                .seat(targetSeat)
                .filter(this::isDead)
                .filter(Seat::leaving)
                .isPresent()) {
            step = Step.REMOVING;
            actions.add(view.writeWithout(targetSeat));
        } else {
            endAttempt(now, SHORT_CHECK_INTERVAL, actions);
        }
        return actions;
    }

    /** Reports that a read failed. */
    public List<SeatAction> onReadFailed(Duration now) {
        return endAttempt(now, CHECK_INTERVAL, new ArrayList<>());
    }

    /** Reports the outcome of acquiring the lease of the seat. */
    public List<SeatAction> onLease(Duration now, LeaseOutcome outcome) {
        checkState(step == Step.ACQUIRING, "no lease request is pending");
        if (outcome != LeaseOutcome.GRANTED) {
            targetSeat = null;
            return endAttempt(now, CHECK_INTERVAL, new ArrayList<>());
        }
        step = Step.MARKING;
        return List.of(
                view.writeWith(view.lastRead().seat(targetSeat).orElseThrow().asLeaving()));
    }

    /** Reports the outcome of writing the seat table. */
    public List<SeatAction> onWrite(Duration now, WriteOutcome outcome) {
        checkState(step == Step.MARKING || step == Step.REMOVING, "no write is pending");
        List<SeatAction> actions = new ArrayList<>();
        if (outcome != WriteOutcome.WRITTEN) {
            return endAttempt(now, SHORT_CHECK_INTERVAL, actions);
        }
        if (view.updateNewest(view.proposal())) {
            actions.add(new SeatAction.InstallTable(view.proposal()));
        }
        if (step == Step.MARKING) {
            step = Step.WAITING;
            dueAt = now.plus(SeatClaim.SEAT_TAKEOVER_WAIT);
            actions.add(new SeatAction.NotifyFormerHolder(
                    view.proposal().seat(targetSeat).orElseThrow().address()));
            return actions;
        }
        return endAttempt(now, SHORT_CHECK_INTERVAL, actions);
    }

    private List<SeatAction> endAttempt(Duration now, Duration delay, List<SeatAction> actions) {
        if (targetSeat != null) {
            actions.add(new SeatAction.ReleaseLease(targetSeat));
            targetSeat = null;
        }
        step = Step.IDLE;
        dueAt = now.plus(delay);
        return actions;
    }

    private boolean isDead(Seat seat) {
        return !view.liveDaemons().contains(seat.daemon()) && !seat.daemon().equals(daemon);
    }
}
