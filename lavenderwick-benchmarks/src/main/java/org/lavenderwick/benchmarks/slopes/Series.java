package org.lavenderwick.benchmarks.slopes;

import java.util.List;
import java.util.Optional;

/**
 * One quantity measured at several sizes.
 *
 * @param name name of the quantity
 * @param unit unit of the values
 * @param sizeName what the size counts
 * @param points one point a size
 */
public record Series(String name, String unit, String sizeName, List<Point> points) {

    /** Copies the list. */
    public Series {
        points = List.copyOf(points);
    }

    /** Returns the line through the medians; empty with fewer than two sizes. */
    public Optional<Fit> fit() {
        List<Double> sizes = points.stream().map(Point::size).toList();
        return sizes.stream().distinct().count() < 2
                ? Optional.empty()
                : Optional.of(Fit.of(sizes, points.stream().map(Point::median).toList()));
    }
}
