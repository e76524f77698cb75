package org.lavenderwick.benchmarks.slopes;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.ToDoubleFunction;

import org.lavenderwick.core.audit.AuditAction;
import org.lavenderwick.core.audit.AuditAppend;
import org.lavenderwick.core.audit.AuditEntry;
import org.lavenderwick.core.time.Backoff;

/** Cost of promotions that write their audit entries at the same time, with the real append in simulated time. */
final class AuditSlopes {
    private static final int[] ENTRIES = {1, 20, 60, 183};
    private static final Duration SPREAD = Duration.ofMillis(500);
    private static final Duration ONE_WAY = Duration.ofNanos(2_500_000);
    private static final Duration BOUND = Duration.ofMinutes(10);
    /** Backoff of the daemon's audit log. */
    private static final Duration FIRST_DELAY = Duration.ofMillis(200);

    private static final Duration LONGEST_DELAY = Duration.ofSeconds(5);
    private static final Instant WHEN = Instant.parse("2026-12-04T12:00:00Z");

    private final Sampler sampler;

    AuditSlopes(Sampler sampler) {
        this.sampler = sampler;
    }

    List<Series> all() {
        List<Series> series = new ArrayList<>();
        series.add(new Series("audit: one entry", "bytes", "entry", List.of(sampler.point(1, run ->
                (double) entry(run).length()))));
        series.add(series("audit: entries at once, calls", "reads and writes", log -> log.calls));
        series.add(series("audit: entries at once, busiest second", "calls/s", log -> log.peak()));
        series.add(series(
                "audit: entries at once, until all are written",
                "s",
                log -> log.time.now().toMillis() / 1e3));
        series.add(series("audit: entries at once, values read and written", "bytes", log -> log.bytes));
        return series;
    }

    private static String entry(int number) {
        AuditEntry entry = new AuditEntry(
                Fleet.daemon(number).value() + "-1790000000000",
                WHEN,
                "promotion database-%04d".formatted(number),
                "term 7, primary database-%04d-1".formatted(number),
                "term 8, primary database-%04d-2".formatted(number));
        return new String(Wire.json(entry), StandardCharsets.UTF_8);
    }

    private Series series(String name, String unit, ToDoubleFunction<Log> measured) {
        List<Point> points = new ArrayList<>();
        for (int size : ENTRIES) {
            points.add(sampler.point(size, run -> {
                Log log = new Log(size, run);
                if (!log.time.runUntil(BOUND, () -> log.appended == size)) {
                    throw new IllegalStateException("some entries are not written after " + BOUND);
                }
                return measured.applyAsDouble(log);
            }));
        }
        return new Series(name, unit, "entries", points);
    }

    private static final class Log {
        private final EventQueue time = new EventQueue();
        private final Map<String, String> values = new HashMap<>();
        private final Map<String, Long> revisions = new HashMap<>();
        private final Map<Long, Long> callsBySecond = new HashMap<>();
        private int appended;
        private long calls;
        private long bytes;

        Log(int entries, long seed) {
            Random random = new Random(seed);
            for (int i = 0; i < entries; i++) {
                Backoff backoff = Backoff.create(FIRST_DELAY, LONGEST_DELAY, new Random(random.nextLong()));
                AuditAppend append = AuditAppend.create("promotion-" + i, WHEN, entry(i), 0, backoff);
                time.after(Duration.ofNanos(random.nextLong(SPREAD.toNanos())), () -> perform(append, append.start()));
            }
        }

        double peak() {
            return callsBySecond.values().stream()
                    .mapToLong(Long::longValue)
                    .max()
                    .orElse(0);
        }

        private void perform(AuditAppend append, List<AuditAction> actions) {
            for (AuditAction action : actions) {
                if (action instanceof AuditAction.Read read) {
                    call(() -> read(append, read.key()));
                } else if (action instanceof AuditAction.Write write) {
                    call(() -> write(append, write));
                } else if (action instanceof AuditAction.WakeAt wake) {
                    time.after(wake.at().minus(time.now()), () -> perform(append, append.tick()));
                } else if (action instanceof AuditAction.Appended) {
                    appended++;
                }
            }
        }

        private void call(Runnable effect) {
            calls++;
            callsBySecond.merge(time.now().toSeconds(), 1L, Long::sum);
            time.after(ONE_WAY, effect);
        }

        private void read(AuditAppend append, String key) {
            Optional<String> value = Optional.ofNullable(values.get(key));
            long revision = revisions.getOrDefault(key, 0L);
            bytes += value.map(String::length).orElse(0);
            time.after(ONE_WAY, () -> perform(append, append.onChunkRead(value, revision)));
        }

        private void write(AuditAppend append, AuditAction.Write write) {
            boolean current = revisions.getOrDefault(write.key(), 0L) == write.expectedRevision();
            bytes += write.value().length();
            if (current) {
                values.put(write.key(), write.value());
                revisions.merge(write.key(), 1L, Long::sum);
            }
            time.after(
                    ONE_WAY,
                    () -> perform(append, current ? append.onChunkWritten() : append.onCallFailed(time.now())));
        }
    }
}
