package org.lavenderwick.benchmarks.slopes;

import java.util.List;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The values that the runs at one size gave.
 *
 * @param size the size
 * @param runs one value a run
 */
public record Point(double size, List<Double> runs) {

    /** Sorts the values. */
    public Point {
        checkArgument(!runs.isEmpty(), "a point without a run");
        runs = runs.stream().sorted().toList();
    }

    /** Returns the median: the middle value, or the mean of the two middle ones. */
    public double median() {
        int middle = runs.size() / 2;
        return runs.size() % 2 == 1 ? runs.get(middle) : (runs.get(middle - 1) + runs.get(middle)) / 2;
    }

    /** Returns the smallest value. */
    public double min() {
        return runs.get(0);
    }

    /** Returns the largest value. */
    public double max() {
        return runs.get(runs.size() - 1);
    }
}
