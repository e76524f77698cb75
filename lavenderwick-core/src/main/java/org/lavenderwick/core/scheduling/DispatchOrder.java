package org.lavenderwick.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.lavenderwick.core.scheduling.OperationClass.Pool;

/**
 * The order of classes for a free slot. First comes what is owed the most of a minimum share. Then an operation that
 * can still meet its target is never behind one of a less urgent rank; otherwise the value per slot time decides.
 */
final class DispatchOrder {

    /** Value of a late response, relative to one in time. */
    static final double LATE_VALUE = 0.25;

    private static final Comparator<OperationClass> IN_RANK = Comparator.comparingDouble(OperationClass::partStart)
            .thenComparingDouble(OperationClass::flowStart)
            .thenComparing(waiting -> waiting.first().operation().halfTargetAt());

    /** Part of the target that the work of a rank may fill while it is served in the order of due times. */
    private static final double FILLED_PART = 0.7;

    private final MinimumShares shares;
    private final SlotTimes slotTimes;
    private final RunningOperations running;

    DispatchOrder(MinimumShares shares, SlotTimes slotTimes, RunningOperations running) {
        this.shares = shares;
        this.slotTimes = slotTimes;
        this.running = running;
    }

    /** Returns the value per slot time of an operation. */
    double value(int rank, String database, boolean late) {
        return Math.scalb(late ? LATE_VALUE : 1, -rank) / slotTimes.mean(database);
    }

    private double value(OperationClass waiting) {
        OperationClass.Key key = waiting.key();
        return value(key.rank(), key.database(), key.late());
    }

    /** Returns the operation that takes a slot; null if there is none. It is not removed from its class. */
    WaitingOperation first(Collection<OperationClass> classes, FreeSlot slot) {
        List<OperationClass> candidates = new ArrayList<>();
        MinimumShares.State owedMost = null;
        double most = 1;
        for (OperationClass waiting : classes) {
            OperationClass.Key key = waiting.key();
            if (key.rank() > slot.maxRank() || (key.pool() == Pool.PRIMARY && !slot.primary())) {
                continue;
            }
            candidates.add(waiting);
            for (MinimumShares.State share : waiting.shares()) {
                double owed = shares.owed(share) / slotTimes.mean(key.database());
                if (owed > most) {
                    most = owed;
                    owedMost = share;
                }
            }
        }
        if (owedMost != null) {
            MinimumShares.State share = owedMost;
            candidates.removeIf(waiting -> !waiting.shares().contains(share));
        }
        return first(candidates);
    }

    private WaitingOperation first(List<OperationClass> candidates) {
        OperationClass inTime = null;
        OperationClass late = null;
        for (OperationClass waiting : candidates) {
            if (waiting.key().late()) {
                late = late == null || compareLate(waiting, late) < 0 ? waiting : late;
            } else {
                inTime = inTime == null || compareInTime(waiting, inTime) < 0 ? waiting : inTime;
            }
        }
        if (inTime == null) {
            return late == null ? null : late.first();
        }
        if (late != null && late.key().rank() < inTime.key().rank() && value(late) > value(inTime)) {
            return late.first();
        }
        return firstOfRank(inTime, candidates);
    }

    /**
     * Returns the first operation of a rank. While all of the rank can be in time, that is the one that is due first;
     * otherwise the flows share what there is. Fair shares alone made the largest account late in short bursts in which
     * everything could be in time.
     */
    private WaitingOperation firstOfRank(OperationClass fairest, List<OperationClass> candidates) {
        WaitingOperation due = fairest.firstDue();
        double work = 0;
        for (OperationClass waiting : candidates) {
            if (!waiting.key().late() && waiting.key().rank() <= fairest.key().rank()) {
                work += waiting.work();
                WaitingOperation other = waiting.firstDue();
                boolean sooner = waiting.key().rank() == fairest.key().rank()
                        && other.operation().dueAt().compareTo(due.operation().dueAt()) < 0;
                due = sooner ? other : due;
            }
        }
        int slots = running.slotsOf(true) + (fairest.key().pool() == Pool.ANY ? running.slotsOf(false) : 0);
        double room = slots * Seconds.of(due.operation().target());
        return work <= FILLED_PART * room ? due : fairest.first();
    }

    private static int compareInTime(OperationClass a, OperationClass b) {
        int byRank = Integer.compare(a.key().rank(), b.key().rank());
        return byRank != 0 ? byRank : IN_RANK.compare(a, b);
    }

    private int compareLate(OperationClass a, OperationClass b) {
        int byValue = Double.compare(value(b), value(a));
        return byValue != 0 ? byValue : IN_RANK.compare(a, b);
    }
}
