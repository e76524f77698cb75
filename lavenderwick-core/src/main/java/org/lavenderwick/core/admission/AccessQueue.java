package org.lavenderwick.core.admission;

import java.time.Duration;
import java.util.Comparator;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;

/**
 * The queued items of one rank and access. They are divided into two sets:
 *
 * <ul>
 *   <li>Items on time can still complete by their due time. They are served first, earliest due time first, or latest
 *       due time first while any item is late.
 *   <li>Late items can no longer complete by their due time. They are served in order of their deadlines. A late item
 *       stays late.
 * </ul>
 */
final class AccessQueue {

    private static final Comparator<WorkItem> BY_DUE =
            Comparator.comparing(WorkItem::due).thenComparingLong(WorkItem::id);

    static final Comparator<WorkItem> BY_DEADLINE =
            Comparator.comparing(WorkItem::deadline).thenComparingLong(WorkItem::id);

    /**
     * Number of items for which one call evaluates the start rule. More than one, so that a read that must wait for a
     * primary, because no replica has its session's writes yet, does not block the reads behind it. Bounded, because
     * with all endpoints at their limits every item would be evaluated in vain.
     */
    private static final int MAX_CANDIDATES = 16;

    private final NavigableSet<WorkItem> onTime = new TreeSet<>(BY_DUE);
    private final NavigableSet<WorkItem> late = new TreeSet<>(BY_DEADLINE);
    private final DepartureMeter departures = new DepartureMeter();

    /** Adds an item, initially as on time. */
    void add(WorkItem item, Duration now) {
        onTime.add(item);
        departures.recordArrival(now);
    }

    /** Removes an item that is about to run. */
    void removeServed(WorkItem item, Duration now) {
        remove(item);
        departures.recordDeparture(now);
    }

    /** Removes an item that will not run. */
    void removeUnserved(WorkItem item) {
        remove(item);
        departures.recordRemoval();
    }

    private void remove(WorkItem item) {
        if (!onTime.remove(item)) {
            late.remove(item);
        }
    }

    DepartureMeter departures() {
        return departures;
    }

    int size() {
        return departures.waiting();
    }

    /** Marks as late the items that would not complete by their due time if they started now. */
    void moveLateItems(Duration now, Duration serviceTime) {
        Duration earliestCompletion = now.plus(serviceTime);
        while (!onTime.isEmpty() && onTime.first().due().compareTo(earliestCompletion) < 0) {
            late.add(onTime.pollFirst());
        }
    }

    /**
     * Returns the first item on time that may start; empty if there is none among the first {@value #MAX_CANDIDATES}.
     *
     * <p>A late item indicates overload, so the items with the latest due time then come first. In order of due time,
     * an overloaded queue would complete every item just before it is due, and the time to return the response to the
     * client would make it late.
     */
    Optional<WorkItem> nextOnTime(StartRule rule) {
        boolean overloaded = !late.isEmpty();
        int candidates = 0;
        for (WorkItem item : overloaded ? onTime.descendingSet() : onTime) {
            if (candidates++ == MAX_CANDIDATES) {
                break;
            }
            if (rule.mayStart(item)) {
                return Optional.of(item);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the first late item that may start and whose deadline has not passed; empty if there is none among the
     * first {@value #MAX_CANDIDATES} of those before their deadlines.
     */
    Optional<WorkItem> nextLate(StartRule rule, Duration now) {
        int candidates = 0;
        for (WorkItem item : late) {
            if (item.deadline().compareTo(now) <= 0) {
                continue;
            }
            if (candidates++ == MAX_CANDIDATES) {
                break;
            }
            if (rule.mayStart(item)) {
                return Optional.of(item);
            }
        }
        return Optional.empty();
    }

    /** Returns the late item with the earliest deadline, if any item is late. */
    Optional<WorkItem> lateWithEarliestDeadline() {
        return late.isEmpty() ? Optional.empty() : Optional.of(late.first());
    }

    /**
     * Returns an estimate of how many queued items on time are due before the given time. To avoid a linear scan, it
     * assumes that the due times are evenly distributed.
     */
    int estimateDueBefore(Duration due) {
        if (onTime.isEmpty() || due.compareTo(onTime.first().due()) < 0) {
            return 0;
        }
        Duration last = onTime.last().due();
        if (due.compareTo(last) >= 0) {
            return onTime.size();
        }
        Duration first = onTime.first().due();
        double span = last.minus(first).toNanos();
        return (int) Math.ceil(onTime.size() * (due.minus(first).toNanos() / span));
    }
}
