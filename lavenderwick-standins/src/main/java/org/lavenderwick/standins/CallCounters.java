package org.lavenderwick.standins;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.lavenderwick.core.time.MonotonicClock;

/** Counts the calls to the platform per second and per caller address. Thread-safe. */
public final class CallCounters {

    /** Seconds without calls have no entry; older entries are dropped. */
    private static final int KEPT_SECONDS = 3600;

    private final MonotonicClock clock;
    private final Deque<Second> seconds = new ArrayDeque<>();
    private final Map<String, Mutable> callers = new TreeMap<>();
    private final Mutable total = new Mutable();

    CallCounters(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Returns all calls since the start, and the watches that wait now. */
    public synchronized Counts total() {
        return total.counts();
    }

    /** Returns the calls since the start and the waiting watches of each caller address. */
    public synchronized Map<String, Counts> byCaller() {
        Map<String, Counts> result = new TreeMap<>();
        callers.forEach((caller, counts) -> result.put(caller, counts.counts()));
        return result;
    }

    /** Returns the counts of the last hour's seconds, oldest first; seconds without calls are left out. */
    public synchronized List<SecondCounts> bySecond() {
        List<SecondCounts> result = new ArrayList<>();
        seconds.forEach(entry -> result.add(new SecondCounts(entry.number, entry.counts.counts())));
        return result;
    }

    synchronized void read(String caller) {
        each(caller, counts -> counts.reads++);
    }

    synchronized void write(String caller) {
        each(caller, counts -> counts.writes++);
    }

    synchronized void watchStarted(String caller) {
        total.watches++;
        callers.computeIfAbsent(caller, absent -> new Mutable()).watches++;
        Mutable current = current();
        current.watches = Math.max(current.watches, total.watches);
    }

    synchronized void watchEnded(String caller) {
        current();
        total.watches--;
        callers.computeIfAbsent(caller, absent -> new Mutable()).watches--;
    }

    private void each(String caller, Consumer<Mutable> change) {
        change.accept(total);
        change.accept(callers.computeIfAbsent(caller, absent -> new Mutable()));
        change.accept(current());
    }

    private Mutable current() {
        long number = clock.now().toSeconds();
        Second last = seconds.peekLast();
        if (last == null || last.number != number) {
            last = new Second(number, new Mutable());
            last.counts.watches = total.watches;
            seconds.add(last);
            if (seconds.size() > KEPT_SECONDS) {
                seconds.removeFirst();
            }
        }
        return last.counts;
    }

    /**
     * Number of calls.
     *
     * @param reads reads, lists and host lists
     * @param writes compare-and-swaps and lease calls
     * @param watches watches waiting; for a second, the largest number at one time
     */
    public record Counts(long reads, long writes, long watches) {}

    /**
     * Calls within one second.
     *
     * @param second number of the second on the platform's monotonic clock
     * @param counts the calls
     */
    public record SecondCounts(long second, Counts counts) {}

    private record Second(long number, Mutable counts) {}

    private static final class Mutable {
        private long reads;
        private long writes;
        private long watches;

        Counts counts() {
            return new Counts(reads, writes, watches);
        }
    }
}
