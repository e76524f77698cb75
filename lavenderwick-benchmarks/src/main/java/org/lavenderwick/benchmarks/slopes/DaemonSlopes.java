package org.lavenderwick.benchmarks.slopes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.lavenderwick.adapters.platform.HostEntry;
import org.lavenderwick.adapters.settings.DaemonSettings;
import org.lavenderwick.adapters.settings.LogFormat;
import org.lavenderwick.adapters.settings.Timeouts;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.daemon.Daemon;
import org.lavenderwick.standins.CallCounters.Counts;
import org.lavenderwick.standins.CallCounters.SecondCounts;
import org.lavenderwick.standins.PlatformFaults;
import org.lavenderwick.standins.StandinFleet;

/**
 * Real daemons without callers against the stand-ins, all in this process: calls that the platform counts, bytes that
 * the process writes to sockets, and its processor time. Consecutive windows of one run take the place of runs. Calls
 * that the platform does not take during the outage are not counted by it.
 */
final class DaemonSlopes {
    private static final int[] DAEMONS = {6, 9, 12};
    /** Database groups for each daemon, as 1,100 for 720. */
    private static final double GROUPS_PER_DAEMON = 1_100 / 720.0;

    private static final Duration WINDOW = Duration.ofSeconds(4);
    private static final Duration SETTLE_BOUND = Duration.ofSeconds(40);
    private static final Duration SETTLED = Duration.ofSeconds(12);
    private static final long LOOK_MILLIS = 100;

    private final Sampler sampler;
    private final List<Point> reads = new ArrayList<>();
    private final List<Point> writes = new ArrayList<>();
    private final List<Point> watches = new ArrayList<>();
    private final List<Point> bytes = new ArrayList<>();
    private final List<Point> cpu = new ArrayList<>();
    private final List<Point> recoveryReads = new ArrayList<>();
    private final List<Point> recoveryWrites = new ArrayList<>();

    DaemonSlopes(Sampler sampler) {
        this.sampler = sampler;
    }

    List<Series> all() throws Exception {
        // The first run compiles the code; its processor time does not count.
        run(DAEMONS[0]);
        List.of(reads, writes, watches, bytes, cpu, recoveryReads, recoveryWrites)
                .forEach(List::clear);
        for (int size : DAEMONS) {
            run(size);
        }
        String fleet = "calls/s, fleet";
        return List.of(
                new Series("daemons: reads in the steady state", fleet, "daemons", reads),
                new Series("daemons: writes in the steady state", fleet, "daemons", writes),
                new Series("daemons: waiting watches in the steady state", "watches, fleet", "daemons", watches),
                new Series("daemons: bytes written in the steady state", "bytes/s, fleet", "daemons", bytes),
                new Series("daemons: CPU with stand-ins in the steady state", "us/s, fleet", "daemons", cpu),
                new Series("daemons: reads in the busiest second after an outage", fleet, "daemons", recoveryReads),
                new Series("daemons: writes in the busiest second after an outage", fleet, "daemons", recoveryWrites));
    }

    private void run(int size) throws Exception {
        int groups = (int) Math.round(size * GROUPS_PER_DAEMON);
        List<Daemon> daemons = new ArrayList<>();
        try (StandinFleet fleet = StandinFleet.start(Fleet.loopback(groups), StandinFleet.Options.standard())) {
            fleet.publishConfiguration();
            for (int i = 0; i < size; i++) {
                daemons.add(start(fleet, i));
            }
            awaitReady(daemons);
            Thread.sleep(SETTLED.toMillis());
            steady(fleet, size);
            outage(fleet, size);
        } finally {
            daemons.forEach(Daemon::close);
        }
    }

    private static Daemon start(StandinFleet fleet, int index) throws Exception {
        FailureDomain domain = Fleet.domain(index % Fleet.DOMAINS);
        DaemonSettings settings = new DaemonSettings(
                Fleet.daemon(index),
                domain,
                "127.0." + fleet.block(domain) + "." + (10 + index),
                0,
                0,
                0,
                fleet.platform().address(),
                List.of(),
                2,
                DaemonSettings.DEFAULT_MAX_REQUEST_BYTES,
                LogFormat.TEXT,
                Timeouts.DEFAULTS);
        Daemon daemon = Daemon.start(settings);
        fleet.platform().putHost(new HostEntry(settings.daemon(), domain, daemon.peerAddress(), false));
        return daemon;
    }

    private static void awaitReady(List<Daemon> daemons) throws InterruptedException {
        long end = System.nanoTime() + SETTLE_BOUND.toNanos();
        while (!daemons.stream()
                .map(Daemon::status)
                .allMatch(status ->
                        status.ready() && status.seat().isPresent() && status.seatTableVersion() >= daemons.size())) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("some daemons are not ready");
            }
            Thread.sleep(LOOK_MILLIS);
        }
    }

    private void steady(StandinFleet fleet, int size) throws InterruptedException {
        List<List<Double>> samples =
                List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        for (int i = 0; i < sampler.runs(); i++) {
            Counts before = fleet.platform().counters().total();
            long written = CallSlopes.writtenBytes();
            long used = CallSlopes.processNanos();
            Thread.sleep(WINDOW.toMillis());
            Counts after = fleet.platform().counters().total();
            double seconds = WINDOW.toSeconds();
            samples.get(0).add((after.reads() - before.reads()) / seconds);
            samples.get(1).add((after.writes() - before.writes()) / seconds);
            samples.get(2).add((double) after.watches());
            samples.get(3).add((CallSlopes.writtenBytes() - written) / seconds);
            samples.get(4).add((CallSlopes.processNanos() - used) / 1e3 / seconds);
        }
        List<List<Point>> points = List.of(reads, writes, watches, bytes, cpu);
        for (int i = 0; i < points.size(); i++) {
            points.get(i).add(new Point(size, samples.get(i)));
        }
    }

    private void outage(StandinFleet fleet, int size) throws InterruptedException {
        fleet.platform().faults(fleet.platform().faults().withAvailability(PlatformFaults.Availability.HANGS));
        Thread.sleep(WINDOW.multipliedBy(sampler.runs()).toMillis());
        fleet.platform().faults(fleet.platform().faults().withAvailability(PlatformFaults.Availability.UP));
        long from = Duration.ofNanos(System.nanoTime()).toSeconds();
        Thread.sleep(WINDOW.multipliedBy(3).toMillis());
        List<SecondCounts> after = fleet.platform().counters().bySecond().stream()
                .filter(second -> second.second() >= from)
                .toList();
        recoveryReads.add(new Point(size, List.of((double) after.stream()
                .mapToLong(second -> second.counts().reads())
                .max()
                .orElse(0))));
        recoveryWrites.add(new Point(size, List.of((double) after.stream()
                .mapToLong(second -> second.counts().writes())
                .max()
                .orElse(0))));
    }
}
