package org.lavenderwick.core.scheduling;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;

import org.lavenderwick.core.scheduling.Load.Call;

/**
 * An upper bound of the value of any schedule. Relaxations: operations may be split, preempted and run in parallel;
 * only the windows of time whose lengths and starts are powers of two (in units of 64 ms) have a limit of slot time; a
 * late value and what is added to it by being in time are bounded separately; and either all slots are one pool, or
 * only the primary is limited. With nested limits the greedy choice by value per slot time is optimal.
 */
final class HindsightBound {

    private static final int UNIT_MS = 64;
    private static final int LEVELS = 16;

    private record Window(int level, long index) {}

    private HindsightBound() {}

    /** Returns the bound as a part of the full value. */
    static double of(List<Call> load) {
        List<Call> counted = load.stream().filter(call -> !call.flood()).toList();
        double full = counted.stream().mapToDouble(call -> call.value(false)).sum();
        return Math.min(bound(counted, 3 * Load.SLOTS, call -> true), primaryBound(counted)) / full;
    }

    private static double primaryBound(List<Call> load) {
        Predicate<Call> needsPrimary = call -> call.replicaReadyAt().compareTo(call.bestUntil()) > 0;
        return bound(load, Load.SLOTS, needsPrimary);
    }

    private static double bound(List<Call> load, int slots, Predicate<Call> limited) {
        Predicate<Call> limitedLate =
                limited.and(call -> slots > Load.SLOTS || call.replicaReadyAt().compareTo(until(call)) > 0);
        return greedy(load, slots, limitedLate, HindsightBound::until, call -> call.value(true))
                + greedy(load, slots, limited, Call::bestUntil, call -> call.value(false) - call.value(true));
    }

    private static Duration until(Call call) {
        return call.operation().deadline().compareTo(call.leavesAt()) < 0
                ? call.operation().deadline()
                : call.leavesAt();
    }

    private static double greedy(
            List<Call> load,
            int slots,
            Predicate<Call> limited,
            Function<Call, Duration> until,
            Function<Call, Double> value) {
        Map<Window, Double> used = new HashMap<>();
        double sum =
                load.stream().filter(limited.negate()).mapToDouble(value::apply).sum();
        List<Call> ordered = load.stream()
                .filter(limited)
                .sorted(Comparator.comparingDouble(call -> -value.apply(call) / Seconds.of(call.work())))
                .toList();
        for (Call call : ordered) {
            long first = call.operation().arrivedAt().toMillis() / UNIT_MS;
            long last = until.apply(call).toMillis() / UNIT_MS;
            int level = 0;
            while (first >> level != last >> level) {
                level++;
            }
            double taken = Seconds.of(call.work());
            for (int above = level; above < LEVELS; above++) {
                double room =
                        slots * (UNIT_MS << above) / 1e3 - used.getOrDefault(new Window(above, first >> above), 0.0);
                taken = Math.min(taken, room);
            }
            for (int above = level; above < LEVELS; above++) {
                used.merge(new Window(above, first >> above), taken, Double::sum);
            }
            sum += value.apply(call) * taken / Seconds.of(call.work());
        }
        return sum;
    }
}
