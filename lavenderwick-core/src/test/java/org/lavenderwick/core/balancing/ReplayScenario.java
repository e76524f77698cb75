package org.lavenderwick.core.balancing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * A load with disturbances for {@link BalancingReplay}: endpoint 0 is the primary, each endpoint is in the failure
 * domain of its number. Times are in milliseconds.
 */
class ReplayScenario {

    static final int DOMAINS = 3;
    static final int SLOTS = 4;

    private static final double[] PER_SECOND = {30, 140, 30};
    private static final double[] WORK = {3.8, 12, 19};
    private static final double[] TARGET = {151, 251, 401};
    private static final double[] DEADLINE = {2014, 2009, 6016};

    /** An operation; its service time is the same for all policies. */
    record Operation(int rank, int domain, double arrival, double work, double target, double deadline) {
        double value(double finishedAt) {
            double late = finishedAt - arrival > target ? 0.25 : 1;
            return finishedAt > deadline ? 0 : Math.pow(2, -rank) * late;
        }
    }

    double duration() {
        return 10_000;
    }

    double oneWay(int domain, int endpoint) {
        return domain == endpoint ? 0.1 : 3.4;
    }

    double load(int domain, double time) {
        return 1;
    }

    double slowness(int endpoint, double time) {
        return 1;
    }

    double failureShare(int endpoint) {
        return 0;
    }

    boolean isHanging(int endpoint, double time) {
        return false;
    }

    boolean isUp(int endpoint, double time) {
        return true;
    }

    boolean isCutOff(int domain, int endpoint, double time) {
        return false;
    }

    List<Operation> operations(long seed) {
        Random random = new Random(seed);
        List<Operation> operations = new ArrayList<>();
        for (int domain = 0; domain < DOMAINS; domain++) {
            for (int rank = 0; rank < PER_SECOND.length; rank++) {
                double time = 0;
                while (time < duration()) {
                    double rate = PER_SECOND[rank] / DOMAINS * Math.max(0.01, load(domain, time)) / 1000;
                    // Short steps, so that the rate follows the load.
                    double step = -Math.log(1 - random.nextDouble()) / rate;
                    time += Math.min(step, 50);
                    if (step <= 50 && time < duration()) {
                        operations.add(new Operation(
                                rank,
                                domain,
                                time,
                                WORK[rank] * (0.5 + random.nextDouble()),
                                TARGET[rank],
                                time + DEADLINE[rank]));
                    }
                }
            }
        }
        operations.sort(Comparator.comparingDouble(Operation::arrival));
        return operations;
    }

    /**
     * Returns the value of a schedule made with full knowledge over the same slots. Operations are placed in the order
     * of their rank, those that can be in time first, each into the slot in which it ends first.
     */
    double bestValue(long seed) {
        double value = 0;
        List<TreeMap<Double, Double>> slots = new ArrayList<>();
        for (int slot = 0; slot < DOMAINS * SLOTS; slot++) {
            slots.add(new TreeMap<>());
        }
        List<Operation> remaining = new ArrayList<>(operations(seed));
        remaining.sort(Comparator.comparingInt(Operation::rank).thenComparingDouble(Operation::arrival));
        for (boolean inTime : new boolean[] {true, false}) {
            List<Operation> late = new ArrayList<>();
            for (Operation operation : remaining) {
                double end = place(operation, slots, inTime ? operation.arrival() + operation.target() : 1e9);
                value += operation.value(end);
                if (end == Double.MAX_VALUE) {
                    late.add(operation);
                }
            }
            remaining = late;
        }
        return value;
    }

    private double place(Operation operation, List<TreeMap<Double, Double>> slots, double latestEnd) {
        double bestEnd = Double.MAX_VALUE;
        double bestStart = 0;
        int bestSlot = 0;
        for (int slot = 0; slot < (operation.rank() == 0 ? SLOTS : DOMAINS * SLOTS); slot++) {
            int endpoint = slot / SLOTS;
            double start = firstGap(slots.get(slot), operation, endpoint);
            double end = start + operation.work() * slowness(endpoint, start) + oneWay(operation.domain(), endpoint);
            if (end < bestEnd) {
                bestEnd = end;
                bestStart = start;
                bestSlot = slot;
            }
        }
        if (bestEnd > Math.min(latestEnd, operation.deadline())) {
            return Double.MAX_VALUE;
        }
        slots.get(bestSlot).put(bestStart, bestStart + operation.work() * slowness(bestSlot / SLOTS, bestStart));
        return bestEnd;
    }

    private double firstGap(TreeMap<Double, Double> busy, Operation operation, int endpoint) {
        double start = operation.arrival() + oneWay(operation.domain(), endpoint);
        while (start < operation.deadline()) {
            double end = start + operation.work() * slowness(endpoint, start);
            Map.Entry<Double, Double> span = busy.lowerEntry(end);
            if (span != null && span.getValue() > start) {
                start = span.getValue();
            } else if (isServing(operation, endpoint, start, end)) {
                return start;
            } else {
                start += 10;
            }
        }
        return Double.MAX_VALUE / 2;
    }

    private boolean isServing(Operation operation, int endpoint, double start, double end) {
        return isUp(endpoint, start)
                && isUp(endpoint, end)
                && !isHanging(endpoint, start)
                && !isCutOff(operation.domain(), endpoint, start);
    }
}
