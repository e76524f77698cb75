package org.lavenderwick.benchmarks.slopes;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import org.slf4j.LoggerFactory;

/** Measures the slopes from which {@code docs/CAPACITY.md} derives the cost at the target size. */
public final class Slopes {
    private static final int MIN_RUNS = 5;

    @Parameter(names = "--runs", description = "Runs for each point, at least 5.")
    private int runs = MIN_RUNS;

    @Parameter(names = "--only", description = "Parts to measure, separated by commas; all if absent.")
    private List<String> only = List.of();

    @Parameter(names = "--json", description = "File for the results as JSON.")
    private String json;

    @Parameter(names = "--help", help = true, description = "Shows the options.")
    private boolean help;

    private Slopes() {}

    /** Measures the chosen parts, prints a table and writes a JSON file if one is named. */
    public static void main(String[] args) throws Exception {
        Slopes slopes = new Slopes();
        JCommander options =
                JCommander.newBuilder().programName("slopes").addObject(slopes).build();
        options.parse(args);
        if (slopes.help) {
            options.usage();
        } else if (slopes.runs < MIN_RUNS) {
            throw new IllegalArgumentException("fewer than " + MIN_RUNS + " runs for each point");
        } else {
            ((Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME)).setLevel(Level.ERROR);
            slopes.measure();
            // Threads of clients that end late would keep the process.
            System.exit(0);
        }
    }

    private Map<String, Callable<List<Series>>> parts() {
        Sampler sampler = new Sampler(runs);
        Map<String, Callable<List<Series>>> parts = new LinkedHashMap<>();
        parts.put("configuration", new DocumentSlopes(sampler)::configuration);
        parts.put("seats", new DocumentSlopes(sampler)::seats);
        parts.put("owners", new DocumentSlopes(sampler)::owners);
        parts.put("tokens", new DocumentSlopes(sampler)::tokens);
        parts.put("exchange", new ExchangeSlopes(sampler)::all);
        parts.put("platform", new SeatSlopes(sampler)::all);
        parts.put("evidence", new EvidenceSlopes(sampler)::all);
        parts.put("calls", new CallSlopes(sampler)::all);
        parts.put("connections", new ConnectionSlopes(sampler)::all);
        parts.put("groups", new GroupSlopes(sampler)::all);
        parts.put("audit", new AuditSlopes(sampler)::all);
        parts.put("daemons", new DaemonSlopes(sampler)::all);
        return parts;
    }

    private void measure() throws Exception {
        Map<String, Callable<List<Series>>> parts = parts();
        if (!parts.keySet().containsAll(only)) {
            throw new IllegalArgumentException("parts are " + parts.keySet());
        }
        List<Series> results = new ArrayList<>();
        for (Map.Entry<String, Callable<List<Series>>> part : parts.entrySet()) {
            if (only.isEmpty() || only.contains(part.getKey())) {
                List<Series> measured = part.getValue().call();
                System.out.print(Report.table(measured));
                results.addAll(measured);
            }
        }
        if (json != null) {
            write(results);
        }
    }

    private void write(List<Series> results) throws IOException {
        Files.writeString(Path.of(json), Report.json(results) + "\n", StandardCharsets.UTF_8);
    }
}
