package org.lavenderwick.core.promotion;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Time and messages of one run: events in order of time, and messages that are delayed, lost or cut off until a time. */
final class SimulatedNetwork {

    static final long MILLIS = 1_000_000;

    private record Event(long time, long number, Runnable action) {}

    final SplittableRandom random;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparingLong(Event::number));
    private final long[][] cutUntil;
    private final long healedAt;
    private long now;
    private long eventCount;

    SimulatedNetwork(long seed, int nodes, long healedAt) {
        this.random = new SplittableRandom(seed);
        this.cutUntil = new long[nodes][nodes];
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
    void step() {
        Event event = events.remove();
        now = event.time();
        event.action().run();
    }

    /** Cuts both directions between two nodes. No cut outlasts the faults. */
    void cut(int first, int second, long until) {
        cutUntil[first][second] = Math.min(until, healedAt);
        cutUntil[second][first] = Math.min(until, healedAt);
    }

    /** Sends a request and its answer; either may be lost, the answer after the effect of the request. */
    <R> void call(int from, int to, Supplier<R> effect, Consumer<R> answer) {
        send(from, to, () -> {
            R result = effect.get();
            send(to, from, () -> answer.accept(result));
        });
    }

    void send(int from, int to, Runnable arrival) {
        boolean lost = !isHealed() && random.nextInt(100) < 4;
        if (!lost && cutUntil[from][to] <= now) {
            after(delay(), () -> {
                if (cutUntil[from][to] <= now) {
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

    /** A monotonic clock with an arbitrary origin and a rate error at the bound, or none. */
    record Clock(long origin, double rate) {

        static Clock drifting(SplittableRandom random, double bound) {
            double drift = bound * (random.nextInt(3) - 1);
            return new Clock(random.nextLong(1_000_000 * MILLIS), 1 + drift);
        }

        long local(long time) {
            return origin + (long) (time * rate);
        }

        /** Returns the last moment at which the clock shows at most the given time. */
        long time(long local) {
            long time = (long) ((local - origin) / rate) + 2;
            while (local(time) > local) {
                time--;
            }
            return time;
        }
    }
}
