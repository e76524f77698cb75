package org.lavenderwick.core.scheduling;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;

import org.lavenderwick.core.scheduling.OperationClass.Pool;

/**
 * The operations that wait, by class. The number of classes with work is bounded by databases and failure domains; each
 * operation changes its place at most a few times, in logarithmic time. Not thread-safe.
 */
final class WaitingOperations {

    private record Timer(Duration at, WaitingOperation waiting) {}

    private final ReplicaForecast forecast;
    private final SlotTimes slotTimes;
    private final MinimumShares shares;
    private final Map<Long, WaitingOperation> byId = new HashMap<>();
    // In the order of creation, so that ties do not depend on hash codes.
    private final Map<OperationClass.Key, OperationClass> classes = new LinkedHashMap<>();
    private final Map<Integer, RankFlows> ranks = new HashMap<>();
    private final PriorityQueue<Timer> latestStarts = newTimers();
    private final PriorityQueue<Timer> deadlines = newTimers();
    private final PriorityQueue<Timer> delayed = newTimers();
    private final PriorityQueue<Timer> awaitingReplica = newTimers();
    private final PriorityQueue<Timer> replicaReady = newTimers();

    WaitingOperations(ReplicaForecast forecast, SlotTimes slotTimes, MinimumShares shares) {
        this.forecast = forecast;
        this.slotTimes = slotTimes;
        this.shares = shares;
    }

    private static PriorityQueue<Timer> newTimers() {
        return new PriorityQueue<>(Comparator.comparing(Timer::at));
    }

    int size() {
        return byId.size();
    }

    /** Returns the classes with work. */
    Collection<OperationClass> classes() {
        return classes.values();
    }

    RankFlows flows(int rank) {
        return ranks.computeIfAbsent(rank, absent -> new RankFlows());
    }

    /** Adds an operation that may not run before the given time. */
    void add(Operation operation, Duration notBefore, Duration now) {
        WaitingOperation waiting = new WaitingOperation(operation, slotTimes);
        WaitingOperation replaced = byId.put(operation.id(), waiting);
        if (replaced != null) {
            throw new IllegalArgumentException("operation " + operation.id() + " waits already");
        }
        shares.onWaiting(MinimumShares.keys(operation));
        deadlines.add(new Timer(operation.deadline(), waiting));
        if (notBefore.compareTo(now) > 0) {
            delayed.add(new Timer(notBefore, waiting));
        } else {
            place(waiting, now);
        }
    }

    /** Returns the kind of slot that an operation would wait for. */
    Pool pool(Operation operation, Duration latestStart, Duration now) {
        return operation.primaryOnly()
                        || forecast.readyAt(operation, now)
                                .filter(ready -> ready.compareTo(latestStart) <= 0 || ready.compareTo(now) <= 0)
                                .isEmpty()
                ? Pool.PRIMARY
                : Pool.ANY;
    }

    private void place(WaitingOperation waiting, Duration now) {
        Operation operation = waiting.operation();
        boolean late = waiting.latestStart().compareTo(now) < 0;
        Pool pool = pool(operation, waiting.latestStart(), now);
        if (pool == Pool.ANY && !late) {
            Duration readyAt = forecast.readyAt(operation, now).orElse(now);
            if (readyAt.compareTo(now) > 0) {
                awaitingReplica.add(new Timer(readyAt, waiting));
                return;
            }
        }
        enterClass(waiting, pool, late, now);
        if (!late) {
            latestStarts.add(new Timer(waiting.latestStart(), waiting));
        }
    }

    /** Adds an operation to its class, and to that of any endpoint once a replica is expected to be ready for it. */
    private void enterClass(WaitingOperation waiting, Pool pool, boolean late, Duration now) {
        addToClass(waiting, pool, late);
        Operation operation = waiting.operation();
        if (pool == Pool.PRIMARY && !operation.primaryOnly()) {
            forecast.readyAt(operation, now)
                    .filter(readyAt -> readyAt.compareTo(operation.deadline()) < 0)
                    .ifPresent(readyAt -> replicaReady.add(new Timer(readyAt, waiting)));
        }
    }

    private void addToClass(WaitingOperation waiting, Pool pool, boolean late) {
        Operation operation = waiting.operation();
        OperationClass.Key key = new OperationClass.Key(
                operation.rank(), operation.database(), operation.domain().value(), pool, late);
        classes.computeIfAbsent(
                        key,
                        absent -> new OperationClass(
                                absent, flows(operation.rank()), shares.states(MinimumShares.keys(operation))))
                .add(waiting);
    }

    /** Moves the operations that have become ready or late. */
    void advance(Duration now) {
        forEachDue(delayed, now, waiting -> place(waiting, now));
        forEachDue(awaitingReplica, now, waiting -> place(waiting, now));
        forEachDue(latestStarts, now.minusNanos(1), waiting -> {
            OperationClass before = waiting.place();
            if (before != null && !before.key().late()) {
                leaveClass(waiting);
                enterClass(waiting, pool(waiting.operation(), waiting.latestStart(), now), true, now);
            }
        });
        forEachDue(replicaReady, now, waiting -> {
            OperationClass before = waiting.place();
            if (before != null && before.key().pool() == Pool.PRIMARY) {
                leaveClass(waiting);
                addToClass(waiting, Pool.ANY, before.key().late());
            }
        });
    }

    private static void forEachDue(PriorityQueue<Timer> timers, Duration now, Consumer<WaitingOperation> action) {
        while (!timers.isEmpty() && timers.peek().at().compareTo(now) <= 0) {
            WaitingOperation waiting = timers.remove().waiting();
            if (!waiting.isFinished()) {
                action.accept(waiting);
            }
        }
    }

    /** Removes an operation from its class; it still counts as waiting. */
    void take(WaitingOperation waiting) {
        leaveClass(waiting);
    }

    /** Returns an operation to the class from which it was taken. */
    void putBack(WaitingOperation waiting, OperationClass.Key key) {
        addToClass(waiting, key.pool(), key.late());
    }

    /** Records that an operation that was taken no longer waits. */
    void finish(WaitingOperation waiting) {
        waiting.finish();
        byId.remove(waiting.operation().id());
        shares.onLeft(MinimumShares.keys(waiting.operation()));
    }

    /** Removes and returns the read that waits for a replica and is ready first; null if there is none. */
    WaitingOperation takeAwaitingReplica() {
        while (!awaitingReplica.isEmpty()) {
            WaitingOperation waiting = awaitingReplica.remove().waiting();
            if (!waiting.isFinished()) {
                return waiting;
            }
        }
        return null;
    }

    /** Removes an operation; does nothing if it does not wait. */
    void remove(long id) {
        WaitingOperation waiting = byId.get(id);
        if (waiting != null) {
            if (waiting.place() != null) {
                leaveClass(waiting);
            }
            finish(waiting);
        }
    }

    private void leaveClass(WaitingOperation waiting) {
        OperationClass place = waiting.place();
        place.remove(waiting);
        dropIfEmpty(place);
    }

    private void dropIfEmpty(OperationClass place) {
        if (place.size() == 0) {
            classes.remove(place.key());
        }
    }

    /** Removes and returns the operations whose deadline has passed. */
    List<Operation> removeExpired(Duration now) {
        List<Operation> expired = new ArrayList<>();
        forEachDue(deadlines, now, waiting -> {
            remove(waiting.operation().id());
            expired.add(waiting.operation());
        });
        return expired;
    }
}
