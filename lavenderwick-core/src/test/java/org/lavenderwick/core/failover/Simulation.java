package org.lavenderwick.core.failover;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Simulated time: events run in the order of their times, on one thread. */
final class Simulation {

    private record Event(long at, long order, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private long now;
    private long order;
    private double endpointFaults;

    long now() {
        return now;
    }

    void after(long millis, Runnable action) {
        events.add(new Event(now + millis, order++, action));
    }

    void endpointFaults(double share) {
        endpointFaults = share;
    }

    double endpointFaults() {
        return endpointFaults;
    }

    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
    }
}
