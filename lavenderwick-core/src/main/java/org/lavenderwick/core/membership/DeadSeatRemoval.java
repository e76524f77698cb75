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
 * Removes the seats of dead daemons that nobody took over, so that database groups do not keep owners that never
 * answer. The watchers of a failure domain do this for their own failure domain only, under the same rule as a
 * takeover: the holder is missing from the host list and its lease lapsed. The seat is first marked as leaving; after
 * {@link SeatClaim#SEAT_TAKEOVER_WAIT}, in which a holder that is alive after all stops using it, it is removed.
 *
 * <p>One seat is removed at a time. An attempt that fails is given up and made again at the next check. Confined to the
 * control thread.
 */
public final class DeadSeatRemoval {

    /** Time between two checks when no dead daemon was found. */
    public static final Duration CHECK_INTERVAL = Duration.ofSeconds(30);

    /** Time between two checks when more dead daemons may remain. */
    private static final Duration NEXT_SEAT_INTERVAL = Duration.ofSeconds(1);

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
    private SeatId target;
    private Duration dueAt;

    private DeadSeatRemoval(DaemonName daemon, FailureDomain domain, RandomGenerator random) {
        this.daemon = daemon;
        this.domain = domain;
        this.random = random;
    }

    /** Returns the duty of the given daemon in its failure domain. */
    public static DeadSeatRemoval create(DaemonName daemon, FailureDomain domain, RandomGenerator random) {
        return new DeadSeatRemoval(daemon, domain, random);
    }

    /**
     * Reports the passage of time.
     *
     * @param table the newest table, by which the daemon is a watcher or not
     */
    public List<SeatAction> tick(Duration now, SeatTable table) {
        view.adopt(table);
        if (dueAt == null) {
            // The first check comes at a random time, so that the watchers of a restarted fleet spread out.
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

    /** Reports the seat table and the host list as the platform has them; see {@link SeatClaim#onRead}. */
    public List<SeatAction> onRead(Duration now, Optional<SeatTable> table, long revision, Set<DaemonName> live) {
        checkState(step == Step.READING || step == Step.READING_AGAIN, "no read is open");
        view.onRead(table.orElse(SeatTable.empty()), revision, live);
        List<SeatAction> actions = new ArrayList<>();
        if (view.adopt(view.read())) {
            actions.add(new SeatAction.InstallTable(view.read()));
        }
        if (step == Step.READING) {
            List<Seat> dead =
                    view.read().seatsIn(domain).stream().filter(this::isDead).toList();
            if (dead.isEmpty()) {
                giveUp(now, CHECK_INTERVAL, actions);
            } else {
                target = dead.get(random.nextInt(dead.size())).id();
                step = Step.ACQUIRING;
                actions.add(new SeatAction.AcquireLease(target, SeatClaim.LEASE_TTL));
            }
        } else if (view.read()
                .seat(target)
                .filter(this::isDead)
                .filter(Seat::leaving)
                .isPresent()) {
            step = Step.REMOVING;
            actions.add(view.writeWithout(target));
        } else {
            giveUp(now, NEXT_SEAT_INTERVAL, actions);
        }
        return actions;
    }

    /** Reports that the platform gave no answer to a read. */
    public List<SeatAction> onReadFailed(Duration now) {
        return giveUp(now, CHECK_INTERVAL, new ArrayList<>());
    }

    /** Reports the answer to the acquisition of the seat's lease. */
    public List<SeatAction> onLease(Duration now, LeaseOutcome answer) {
        checkState(step == Step.ACQUIRING, "no lease call is open");
        if (answer != LeaseOutcome.GRANTED) {
            target = null;
            return giveUp(now, CHECK_INTERVAL, new ArrayList<>());
        }
        step = Step.MARKING;
        return List.of(view.writeWith(view.read().seat(target).orElseThrow().asLeaving()));
    }

    /** Reports the answer to a write of the seat table. */
    public List<SeatAction> onWrite(Duration now, WriteOutcome answer) {
        checkState(step == Step.MARKING || step == Step.REMOVING, "no write is open");
        List<SeatAction> actions = new ArrayList<>();
        if (answer != WriteOutcome.WRITTEN) {
            return giveUp(now, NEXT_SEAT_INTERVAL, actions);
        }
        if (view.adopt(view.proposal())) {
            actions.add(new SeatAction.InstallTable(view.proposal()));
        }
        if (step == Step.MARKING) {
            step = Step.WAITING;
            dueAt = now.plus(SeatClaim.SEAT_TAKEOVER_WAIT);
            actions.add(new SeatAction.NotifyFormerHolder(
                    view.proposal().seat(target).orElseThrow().address()));
            return actions;
        }
        return giveUp(now, NEXT_SEAT_INTERVAL, actions);
    }

    private List<SeatAction> giveUp(Duration now, Duration pause, List<SeatAction> actions) {
        if (target != null) {
            actions.add(new SeatAction.ReleaseLease(target));
            target = null;
        }
        step = Step.IDLE;
        dueAt = now.plus(pause);
        return actions;
    }

    private boolean isDead(Seat seat) {
        return !view.liveDaemons().contains(seat.daemon()) && !seat.daemon().equals(daemon);
    }
}
