package org.lavenderwick.core.failover;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A discrete-event simulation. Events run on one thread in the order of their times, given in milliseconds. */
final class Simulation {

    private record Event(long timeMillis, long sequence, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::timeMillis).thenComparingLong(Event::sequence));
    private long now;
    private long nextSequence;
    private double endpointFaultRate;

    long now() {
        return now;
    }

    /** Schedules an action after the given delay. */
    void schedule(long delayMillis, Runnable action) {
        events.add(new Event(now + delayMillis, nextSequence++, action));
    }

    /** Sets the probability that a call to an endpoint fails. */
    void setEndpointFaultRate(double rate) {
        endpointFaultRate = rate;
    }

    double endpointFaultRate() {
        return endpointFaultRate;
    }

    void runUntil(long endMillis) {
        while (!events.isEmpty() && events.peek().timeMillis() <= endMillis) {
            Event event = events.poll();
            now = event.timeMillis();
            event.action().run();
        }
    }
}
