package org.lavenderwick.core.failover;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A discrete-event simulation. Events run on one thread in the order of their times, given in milliseconds. */
final class Simulation {

    private record Event(long at, long order, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private long now;
    private long order;
    private double endpointFaultRate;

    long now() {
        return now;
    }

    /** Schedules an action after the given delay. */
    void schedule(long delayMillis, Runnable action) {
        events.add(new Event(now + delayMillis, order++, action));
    }

    /** Sets the probability that a call to an endpoint fails. */
    void setEndpointFaultRate(double rate) {
        endpointFaultRate = rate;
    }

    double endpointFaultRate() {
        return endpointFaultRate;
    }

    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
    }
}
