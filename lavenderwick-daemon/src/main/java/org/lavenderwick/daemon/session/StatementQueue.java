package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/**
 * The statements of a group that wait for an endpoint, ordered by rank. Within a rank, statements that can still meet
 * their latency target come before those that cannot, and then earlier arrivals before later ones. Confined to the
 * traffic thread.
 */
final class StatementQueue {

    private final List<PendingStatement> statements = new ArrayList<>();

    void add(PendingStatement pending) {
        statements.add(pending);
    }

    /** Removes a statement; returns whether it was queued. */
    boolean remove(PendingStatement pending) {
        return statements.remove(pending);
    }

    boolean isEmpty() {
        return statements.isEmpty();
    }

    int size() {
        return statements.size();
    }

    /**
     * Returns the number of queued statements that are served before a new statement.
     *
     * @param rank rank of the new statement; 0 is the most urgent
     * @param needsPrimary whether only the primary may run the new statement; only statements of the same kind count
     */
    int countAhead(int rank, boolean needsPrimary) {
        int count = 0;
        for (PendingStatement pending : statements) {
            if (pending.route().priority() <= rank && pending.needsPrimary() == needsPrimary) {
                count++;
            }
        }
        return count;
    }

    /** Passes the statements that are not deferred to the sender in order, and removes those that it accepts. */
    void offer(Duration now, Predicate<PendingStatement> sender) {
        if (statements.isEmpty()) {
            return;
        }
        List<PendingStatement> ordered = new ArrayList<>(statements);
        ordered.sort(Comparator.comparingInt(
                        (PendingStatement pending) -> pending.route().priority())
                .thenComparing(pending -> now.compareTo(pending.dueAt()) > 0)
                .thenComparing(PendingStatement::arrivedAt));
        for (PendingStatement pending : ordered) {
            if (pending.deferredUntil().compareTo(now) <= 0 && sender.test(pending)) {
                statements.remove(pending);
            }
        }
    }

    /** Removes and returns the statements that match the filter. */
    List<PendingStatement> removeIf(Predicate<PendingStatement> filter) {
        List<PendingStatement> removed = new ArrayList<>();
        for (Iterator<PendingStatement> iterator = statements.iterator(); iterator.hasNext(); ) {
            PendingStatement pending = iterator.next();
            if (filter.test(pending)) {
                iterator.remove();
                removed.add(pending);
            }
        }
        return removed;
    }
}
