package org.lavenderwick.cli.bench;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.function.Function;

import com.google.common.html.HtmlEscapers;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Writes plots of a run: 99th percentile of the latency, and requests served per second, by rank over time. */
final class PlotReport {
    private static final int WIDTH = 1_000;
    private static final int HEIGHT = 450;
    private static final int HISTOGRAM_DIGITS = 2;

    private PlotReport() {}

    /** Writes the plots to a file whose name ends with {@code .html} or {@code .svg}; an SVG file has one plot. */
    static void write(RunResult result, BenchReport report, Path file) throws IOException {
        System.setProperty("java.awt.headless", "true");
        String latency = svg(chart(result, "Latency, 99th percentile", "ms", second -> p99Millis(second)));
        if (file.toString().endsWith(".svg")) {
            Files.writeString(file, latency);
            return;
        }
        String served = svg(chart(result, "Served", "requests/s", second -> (double) second.size()));
        StringBuilder html = new StringBuilder("<!DOCTYPE html>\n<html><head><meta charset=\"utf-8\"><title>");
        html.append(escape(report.deployment() + " " + report.scenario())).append("</title></head><body>\n<pre>");
        ReportTable.lines(report).forEach(line -> html.append(escape(line)).append('\n'));
        html.append("</pre>\n").append(body(latency)).append(body(served)).append("</body></html>\n");
        Files.writeString(file, html);
    }

    /** Returns the served requests of one rank by the second of their intended time from the start of the load. */
    static TreeMap<Long, List<Outcome>> servedBySecond(RunResult result, String label) {
        TreeMap<Long, List<Outcome>> seconds = new TreeMap<>();
        for (Outcome outcome : result.outcomes()) {
            if (outcome.served() && outcome.operation().workload().label().equals(label)) {
                seconds.computeIfAbsent(outcome.operation().intendedAt().toSeconds(), absent -> new ArrayList<>())
                        .add(outcome);
            }
        }
        return seconds;
    }

    /** Returns the 99th percentile of the latency. */
    static double p99Millis(List<Outcome> outcomes) {
        Histogram histogram = new Histogram(HISTOGRAM_DIGITS);
        histogram.setAutoResize(true);
        outcomes.forEach(
                outcome -> histogram.recordValue(Math.max(0, outcome.latency().toNanos() / 1_000)));
        return histogram.getValueAtPercentile(99) / 1_000.0;
    }

    private static XYChart chart(RunResult result, String title, String unit, Function<List<Outcome>, Double> measure) {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle("seconds from the start of the load")
                .yAxisTitle(unit)
                .build();
        chart.getStyler().setLocale(Locale.ROOT);
        for (Workload workload : result.plan().deployment().workloads()) {
            TreeMap<Long, List<Outcome>> seconds = servedBySecond(result, workload.label());
            if (!seconds.isEmpty()) {
                List<Long> times = new ArrayList<>(seconds.keySet());
                List<Double> values = seconds.values().stream().map(measure).toList();
                chart.addSeries(workload.label(), times, values).setMarker(SeriesMarkers.NONE);
            }
        }
        return chart;
    }

    private static String svg(XYChart chart) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        VectorGraphicsEncoder.saveVectorGraphic(chart, out, VectorGraphicsFormat.SVG);
        return out.toString(StandardCharsets.UTF_8);
    }

    /** Returns an SVG document without its declarations, to stand within HTML. */
    private static String body(String svg) {
        return svg.substring(svg.indexOf("<svg")) + "\n";
    }

    private static String escape(String text) {
        return HtmlEscapers.htmlEscaper().escape(text);
    }
}
