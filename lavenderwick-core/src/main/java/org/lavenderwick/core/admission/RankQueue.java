package org.lavenderwick.core.admission;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

import org.lavenderwick.core.model.RankName;

/**
 * The queued items of one rank, and the credit that guarantees the rank its floor share of the service.
 *
 * <p>Credit is counted in statements. Whenever a statement of any rank is served while this rank has an item that may
 * start, this rank earns its floor share. Each statement of its own costs one.
 */
final class RankQueue {

    /** Credit, in statements, from which the rank is served before more urgent ranks. */
    private static final double CREDIT_FOR_PRECEDENCE = 1;

    /** Upper bound of the credit, in statements; it limits how long the rank can delay more urgent ranks. */
    private static final double MAX_CREDIT = 2;

    /**
     * Lower bound, in statements, to which service beyond the floor share reduces the credit. It limits how long the
     * rank stays without its floor share after a burst.
     */
    private static final double MIN_CREDIT = -1;

    private final RankName name;
    private final double floorShare;
    private final Map<Access, AccessQueue> queues = new EnumMap<>(Access.class);
    private double credit;

    RankQueue(RankName name, double floorShare) {
        this.name = name;
        this.floorShare = floorShare;
        for (Access access : Access.values()) {
            queues.put(access, new AccessQueue());
        }
    }

    RankName name() {
        return name;
    }

    double floorShare() {
        return floorShare;
    }

    AccessQueue queue(Access access) {
        return queues.get(access);
    }

    int size() {
        int size = 0;
        for (AccessQueue queue : queues.values()) {
            size += queue.size();
        }
        return size;
    }

    /**
     * Returns the item to start next, if any may start. Items on time precede late ones; between items of different
     * access, the one with the earlier due time is next.
     */
    Optional<WorkItem> next(StartRule rule, Duration now, Duration serviceTime) {
        Optional<WorkItem> onTime = Optional.empty();
        for (AccessQueue queue : queues.values()) {
            if (queue.size() > 0) {
                queue.moveLateItems(now, serviceTime);
                onTime = earlierDue(onTime, queue.nextOnTime(rule));
            }
        }
        if (onTime.isPresent()) {
            return onTime;
        }
        Optional<WorkItem> late = Optional.empty();
        for (AccessQueue queue : queues.values()) {
            late = earlierDue(late, queue.nextLate(rule, now));
        }
        return late;
    }

    private static Optional<WorkItem> earlierDue(Optional<WorkItem> first, Optional<WorkItem> second) {
        if (first.isEmpty() || second.isEmpty()) {
            return first.isPresent() ? first : second;
        }
        return second.get().due().compareTo(first.get().due()) < 0 ? second : first;
    }

    /** Returns the late item that a new item may displace: the one with the earliest deadline. */
    Optional<WorkItem> displaceable(Duration now, Duration serviceTime) {
        Optional<WorkItem> chosen = Optional.empty();
        for (AccessQueue queue : queues.values()) {
            queue.moveLateItems(now, serviceTime);
            Optional<WorkItem> candidate = queue.lateWithEarliestDeadline();
            if (candidate.isPresent()
                    && (chosen.isEmpty() || AccessQueue.BY_DEADLINE.compare(candidate.get(), chosen.get()) < 0)) {
                chosen = candidate;
            }
        }
        return chosen;
    }

    /** Returns whether the rank has earned enough credit to be served before more urgent ranks. */
    boolean hasPrecedence() {
        return credit >= CREDIT_FOR_PRECEDENCE;
    }

    /** Adds the rank's floor share of the given number of served statements to its credit. */
    void earnCredit(int statements) {
        credit = Math.min(MAX_CREDIT, credit + floorShare * statements);
    }

    /**
     * Deducts the statements of a served item from the credit.
     *
     * @param byPrecedence whether the item was served because {@link #hasPrecedence} held; otherwise the deduction
     *     stops at {@link #MIN_CREDIT}
     */
    void spendCredit(int statements, boolean byPrecedence) {
        double after = credit - statements;
        credit = byPrecedence ? after : Math.max(after, Math.min(credit, MIN_CREDIT));
    }

    /** Removes positive credit if nothing is queued, so that an idle rank accumulates none. */
    void dropCreditIfEmpty() {
        if (size() == 0) {
            credit = Math.min(credit, 0);
        }
    }
}
