package org.lavenderwick.benchmarks.slopes;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;

/** Writes the results as a table and as JSON. */
final class Report {
    private Report() {}

    static String table(List<Series> series) {
        StringBuilder text = new StringBuilder();
        for (Series one : series) {
            text.append("%n%s [%s], by %s%n".formatted(one.name(), one.unit(), one.sizeName()));
            text.append("  %10s %14s %14s %14s %5s%n".formatted("size", "median", "min", "max", "runs"));
            for (Point point : one.points()) {
                text.append("  %10.0f %14s %14s %14s %5d%n"
                        .formatted(
                                point.size(),
                                number(point.median()),
                                number(point.min()),
                                number(point.max()),
                                point.runs().size()));
            }
            one.fit()
                    .ifPresent(fit -> text.append("  fit: %s + %s x size, R2 %.4f%n"
                            .formatted(number(fit.intercept()), number(fit.slope()), fit.determination())));
        }
        return text.toString();
    }

    static String json(List<Series> series) {
        List<Entry> entries = series.stream()
                .map(one -> new Entry(one.name(), one.unit(), one.sizeName(), one.points(), one.fit()))
                .toList();
        try {
            return Wire.JSON
                    .writerWithDefaultPrettyPrinter()
                    .writeValueAsString(Map.of("java", Runtime.version().toString(), "series", entries));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the results cannot be written", e);
        }
    }

    private static String number(double value) {
        double size = Math.abs(value);
        return String.format(Locale.ROOT, size >= 1_000 ? "%,.0f" : size >= 10 ? "%.1f" : "%.3f", value);
    }

    private record Entry(String name, String unit, String sizeName, List<Point> points, Optional<Fit> fit) {}
}
