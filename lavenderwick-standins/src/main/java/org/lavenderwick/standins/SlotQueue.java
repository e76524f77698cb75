package org.lavenderwick.standins;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Serves requests in the order of arrival, as many at a time as there are slots. The more requests wait, the slower
 * each is served. Thread-safe.
 */
final class SlotQueue {

    /** Bound of the slowdown, so that an overloaded endpoint still makes progress. */
    private static final double MAX_SLOWDOWN = 3;

    private final int slots;
    private final double slowdown;
    private final StandinRuntime runtime;
    private final Deque<Entry> queue = new ArrayDeque<>();
    private int busy;

    SlotQueue(int slots, double slowdown, StandinRuntime runtime) {
        this.slots = slots;
        this.slowdown = slowdown;
        this.runtime = runtime;
    }

    /** Runs the task at the end of its service. */
    void submit(Duration service, Runnable task) {
        synchronized (this) {
            queue.add(new Entry(service, task));
        }
        startNext();
    }

    private void startNext() {
        Entry next;
        double factor;
        synchronized (this) {
            if (busy >= slots || queue.isEmpty()) {
                return;
            }
            next = queue.remove();
            busy++;
            factor = Math.min(MAX_SLOWDOWN, 1 + slowdown * queue.size() / slots);
        }
        runtime.schedule(
                () -> finish(next), Duration.ofNanos((long) (next.service().toNanos() * factor)));
    }

    private void finish(Entry entry) {
        synchronized (this) {
            busy--;
        }
        startNext();
        entry.task().run();
    }

    private record Entry(Duration service, Runnable task) {}
}
