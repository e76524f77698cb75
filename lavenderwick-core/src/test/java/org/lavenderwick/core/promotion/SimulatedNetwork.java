package org.lavenderwick.core.promotion;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** The simulated clock, event queue and network of one run. Messages may be delayed, lost or cut off by partitions. */
final class SimulatedNetwork {

    static final long MILLIS = 1_000_000;

    private record Event(long time, long number, Runnable action) {}

    final SplittableRandom random;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::number));
    private final long[][] partitionedUntil;
    private final long healedAt;
    private long now;
    private long eventCount;

    SimulatedNetwork(long seed, int nodes, long healedAt) {
        this.random = new SplittableRandom(seed);
        this.partitionedUntil = new long[nodes][nodes];
        this.healedAt = healedAt;
    }

    long now() {
        return now;
    }

    long eventCount() {
        return eventCount;
    }

    boolean isHealed() {
        return now >= healedAt;
    }

    void at(long time, Runnable action) {
        events.add(new Event(Math.max(time, now), eventCount++, action));
    }

    void after(long delay, Runnable action) {
        at(now + delay, action);
    }

    /** Runs the next event. */
    void runNextEvent() {
        Event event = events.remove();
        now = event.time();
        event.action().run();
    }

    /** Partitions two nodes in both directions until the given time, but at most until the network is healed. */
    void partition(int first, int second, long until) {
        partitionedUntil[first][second] = Math.min(until, healedAt);
        partitionedUntil[second][first] = Math.min(until, healedAt);
    }

    /** Sends a request and its response. Either may be lost; the request has taken effect if the response is lost. */
    <R> void call(int from, int to, Supplier<R> effect, Consumer<R> onResponse) {
        send(from, to, () -> {
            R result = effect.get();
            send(to, from, () -> onResponse.accept(result));
        });
    }

    void send(int from, int to, Runnable arrival) {
        boolean lost = !isHealed() && random.nextInt(100) < 4;
        if (!lost && partitionedUntil[from][to] <= now) {
            after(delay(), () -> {
                if (partitionedUntil[from][to] <= now) {
                    arrival.run();
                }
            });
        }
    }

    private long delay() {
        int kind = isHealed() ? 100 : random.nextInt(100);
        if (kind < 2) {
            return random.nextLong(9_000 * MILLIS);
        }
        return kind < 10 ? random.nextLong(800 * MILLIS) : random.nextLong(MILLIS / 5, 2 * MILLIS);
    }

    /** A monotonic clock with an arbitrary origin. Its rate error is zero or at the positive or negative bound. */
    record Clock(long origin, double rate) {

        static Clock drifting(SplittableRandom random, double bound) {
            double drift = bound * (random.nextInt(3) - 1);
            return new Clock(random.nextLong(1_000_000 * MILLIS), 1 + drift);
        }

        long toLocal(long time) {
            return origin + (long) (time * rate);
        }

        /** Returns the latest simulated time at which this clock shows at most the given time. */
        long toSimulated(long local) {
            long time = (long) ((local - origin) / rate) + 2;
            while (toLocal(time) > local) {
                time--;
            }
            return time;
        }
    }
}
