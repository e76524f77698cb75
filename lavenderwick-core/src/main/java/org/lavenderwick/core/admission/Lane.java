package org.lavenderwick.core.admission;

import java.time.Duration;
import java.util.Comparator;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;

/**
 * The waiting items of one rank and access. Those that can still be answered when due come first, earliest due first,
 * or latest due first while there are late ones; the late ones follow, earliest deadline first. An item does not move
 * back once it is late.
 */
final class Lane {

    private static final Comparator<WorkItem> BY_DUE =
            Comparator.comparing(WorkItem::due).thenComparingLong(WorkItem::id);

    static final Comparator<WorkItem> BY_DEADLINE =
            Comparator.comparing(WorkItem::deadline).thenComparingLong(WorkItem::id);

    /**
     * Items that may be passed over in one decision because they may not start. Sessions whose write no replica has
     * must not hold up other reads while there is no primary; more would make a decision on a full endpoint costly.
     */
    private static final int MAX_ASKED = 16;

    private final NavigableSet<WorkItem> onTime = new TreeSet<>(BY_DUE);
    private final NavigableSet<WorkItem> late = new TreeSet<>(BY_DEADLINE);
    private final DepartureMeter meter = new DepartureMeter();

    void add(WorkItem item, Duration now) {
        onTime.add(item);
        meter.arrived(now);
    }

    void served(WorkItem item, Duration now) {
        discard(item);
        meter.departed(now);
    }

    void abandoned(WorkItem item) {
        discard(item);
        meter.abandoned();
    }

    private void discard(WorkItem item) {
        if (!onTime.remove(item)) {
            late.remove(item);
        }
    }

    DepartureMeter meter() {
        return meter;
    }

    int size() {
        return meter.waiting();
    }

    /** Moves the items that can no longer be answered when due to the late ones. */
    void sortOutLate(Duration now, Duration serviceTime) {
        Duration earliestAnswer = now.plus(serviceTime);
        while (!onTime.isEmpty() && onTime.first().due().compareTo(earliestAnswer) < 0) {
            late.add(onTime.pollFirst());
        }
    }

    /**
     * Returns the next item on time that may start, among the first few. While late items wait, the one with the most
     * time left is next: served by due time, all work of an overload would be answered at the last moment, and the way
     * back to the caller would make it late.
     */
    Optional<WorkItem> nextOnTime(StartRule rule) {
        boolean overloaded = !late.isEmpty();
        int asked = 0;
        for (WorkItem item : overloaded ? onTime.descendingSet() : onTime) {
            if (asked++ == MAX_ASKED) {
                break;
            }
            if (rule.mayStart(item)) {
                return Optional.of(item);
            }
        }
        return Optional.empty();
    }

    /** Returns the first late item that may start and whose deadline has not passed, among the first few. */
    Optional<WorkItem> firstLate(StartRule rule, Duration now) {
        int asked = 0;
        for (WorkItem item : late) {
            if (item.deadline().compareTo(now) <= 0) {
                continue;
            }
            if (asked++ == MAX_ASKED) {
                break;
            }
            if (rule.mayStart(item)) {
                return Optional.of(item);
            }
        }
        return Optional.empty();
    }

    /** Returns the late item that is closest to its deadline. */
    Optional<WorkItem> mostLate() {
        return late.isEmpty() ? Optional.empty() : Optional.of(late.first());
    }

    /**
     * Returns about how many items would be served before one due at the given time, in logarithmic time. Assumes that
     * the due times of the waiting items are spread evenly.
     */
    int ahead(Duration due) {
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
