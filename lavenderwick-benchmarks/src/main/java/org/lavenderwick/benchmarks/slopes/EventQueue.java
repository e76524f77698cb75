package org.lavenderwick.benchmarks.slopes;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

import org.lavenderwick.core.time.MonotonicClock;

/** Simulated time: runs events in the order of their times. Events of one time run in the order of their entry. */
final class EventQueue implements MonotonicClock {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparing(Event::at).thenComparing(Event::number));
    private Duration now = Duration.ZERO;
    private long next;

    @Override
    public Duration now() {
        return now;
    }

    void after(Duration delay, Runnable task) {
        events.add(new Event(now.plus(delay), next++, task));
    }

    /** Runs events until the given time or until the condition holds, and returns whether it does. */
    boolean runUntil(Duration end, BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            Event event = events.peek();
            if (event == null || event.at.compareTo(end) > 0) {
                now = end;
                return condition.getAsBoolean();
            }
            events.poll();
            now = event.at;
            event.task.run();
        }
        return true;
    }

    private record Event(Duration at, long number, Runnable task) {}
}
