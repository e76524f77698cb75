package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Statements that wait for an endpoint: the urgent ranks first, and within a rank those that can still be answered
 * within their latency target before those that cannot. Confined to the traffic thread.
 */
final class StatementQueue {

    private final List<PendingStatement> waiting = new ArrayList<>();

    void add(PendingStatement work) {
        waiting.add(work);
    }

    void remove(PendingStatement work) {
        waiting.remove(work);
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    int size() {
        return waiting.size();
    }

    /** Returns how many waiting statements of the same need go before new work of a rank. */
    int countAhead(int rank, boolean needsPrimary) {
        int count = 0;
        for (PendingStatement work : waiting) {
            if (work.route().priority() <= rank && work.needsPrimary() == needsPrimary) {
                count++;
            }
        }
        return count;
    }

    /** Offers the statements in order; those that the taker accepts leave the queue. */
    void offer(Duration now, Predicate<PendingStatement> taker) {
        if (waiting.isEmpty()) {
            return;
        }
        List<PendingStatement> order = new ArrayList<>(waiting);
        order.sort(
                Comparator.comparingInt((PendingStatement work) -> work.route().priority())
                        .thenComparing(work -> now.compareTo(work.dueAt()) > 0)
                        .thenComparing(PendingStatement::arrivedAt));
        for (PendingStatement work : order) {
            if (work.deferredUntil().compareTo(now) <= 0 && taker.test(work)) {
                waiting.remove(work);
            }
        }
    }

    /** Removes and returns the statements for which the rule holds. */
    List<PendingStatement> removeIf(Predicate<PendingStatement> rule) {
        List<PendingStatement> removed = new ArrayList<>();
        for (Iterator<PendingStatement> rest = waiting.iterator(); rest.hasNext(); ) {
            PendingStatement work = rest.next();
            if (rule.test(work)) {
                rest.remove();
                removed.add(work);
            }
        }
        return removed;
    }
}
