package org.lavenderwick.benchmarks.slopes;

import java.util.List;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A line fitted by least squares.
 *
 * @param slope growth of the value with each unit of size
 * @param intercept value at size zero
 * @param determination share of the variance that the line explains (R squared), 1 for points on one line
 */
public record Fit(double slope, double intercept, double determination) {

    /** Returns the line through the points; both lists have the same length, and at least two sizes differ. */
    public static Fit of(List<Double> sizes, List<Double> values) {
        checkArgument(sizes.size() == values.size(), "%s sizes but %s values", sizes.size(), values.size());
        double meanSize = mean(sizes);
        double meanValue = mean(values);
        double sizeSquares = 0;
        double valueSquares = 0;
        double products = 0;
        for (int i = 0; i < sizes.size(); i++) {
            double size = sizes.get(i) - meanSize;
            double value = values.get(i) - meanValue;
            sizeSquares += size * size;
            valueSquares += value * value;
            products += size * value;
        }
        checkArgument(sizeSquares > 0, "a line needs two different sizes");
        double slope = products / sizeSquares;
        double determination = valueSquares == 0 ? 1 : products * products / (sizeSquares * valueSquares);
        return new Fit(slope, meanValue - slope * meanSize, determination);
    }

    /** Returns the value of the line at a size. */
    public double at(double size) {
        return intercept + slope * size;
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
    }
}
