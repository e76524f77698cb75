package org.lavenderwick.benchmarks.slopes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

/** Calls of the seats of a fleet to the platform: steady, in an outage, after it, and when many start at once. */
final class SeatSlopes {
    private static final Duration START_SPREAD = Duration.ofSeconds(1);
    private static final Duration BOUND = Duration.ofMinutes(15);
    private static final Duration STEADY = Duration.ofSeconds(60);
    private static final Duration OUTAGE = Duration.ofMinutes(10);
    private static final Duration RECOVERY = Duration.ofSeconds(30);
    /** Daemons of one failure domain. */
    private static final int[] DOMAIN_SIZES = {1, 10, 40, 120};

    private final Sampler sampler;

    SeatSlopes(Sampler sampler) {
        this.sampler = sampler;
    }

    List<Series> all() {
        List<Series> series = new ArrayList<>();
        series.add(running("seats: calls in the steady state", "calls/s, fleet", simulation -> {
            simulation.run(STEADY);
            return simulation.calls() / (double) STEADY.toSeconds();
        }));
        series.add(running("seats: calls in an outage of 10 min", "calls/s, fleet", simulation -> {
            simulation.platformDown(true);
            simulation.run(OUTAGE);
            return simulation.calls() / (double) OUTAGE.toSeconds();
        }));
        series.add(running("seats: writes in the busiest second after the outage", "calls/s, fleet", simulation -> {
            afterOutage(simulation);
            return simulation.peakWrites();
        }));
        series.add(running("seats: reads in the busiest second after the outage", "calls/s, fleet", simulation -> {
            afterOutage(simulation);
            return simulation.peakReads();
        }));
        addReturns(series);
        addStarts(series);
        return series;
    }

    private void addReturns(List<Series> series) {
        series.add(returning("seats: failure domain restarts, time until all have a seat", "s", simulation -> {
            return simulation.settle(BOUND).toMillis() / 1e3;
        }));
        series.add(returning("seats: failure domain restarts, busiest second, writes", "calls/s", simulation -> {
            simulation.settle(BOUND);
            return simulation.peakWrites();
        }));
        series.add(returning("seats: failure domain restarts, busiest second, reads", "calls/s", simulation -> {
            simulation.settle(BOUND);
            return simulation.peakReads();
        }));
        series.add(returning("seats: failure domain restarts, reads in all", "calls", simulation -> {
            simulation.settle(BOUND);
            return simulation.reads();
        }));
        series.add(returning("seats: failure domain restarts, lost writes of the table", "calls", simulation -> {
            simulation.settle(BOUND);
            return simulation.conflicts();
        }));
    }

    private void addStarts(List<Series> series) {
        series.add(replaced("seats: failure domain replaced, time until all have a seat", "s", simulation -> {
            return simulation.settle(BOUND).toMillis() / 1e3;
        }));
        series.add(replaced("seats: failure domain replaced, busiest second, writes", "calls/s", simulation -> {
            simulation.settle(BOUND);
            return simulation.peakWrites();
        }));
        series.add(replaced("seats: failure domain replaced, writes in all", "calls", simulation -> {
            simulation.settle(BOUND);
            return simulation.writes();
        }));
        series.add(first("seats: first start of a fleet, time until all have a seat", "s", simulation -> {
            return simulation.settle(BOUND).toMillis() / 1e3;
        }));
        series.add(first("seats: first start of a fleet, busiest second, writes", "calls/s", simulation -> {
            simulation.settle(BOUND);
            return simulation.peakWrites();
        }));
        series.add(first("seats: first start of a fleet, busiest second, reads", "calls/s", simulation -> {
            simulation.settle(BOUND);
            return simulation.peakReads();
        }));
    }

    private static void afterOutage(SeatSimulation simulation) {
        simulation.platformDown(true);
        simulation.run(OUTAGE);
        simulation.platformDown(false);
        simulation.forgetCounts();
        simulation.run(RECOVERY);
    }

    /** A fleet whose daemons started over a minute and have their seats. */
    private Series running(String name, String unit, ToDoubleFunction<SeatSimulation> measured) {
        return series(name, unit, "daemons", DocumentSlopes.DAEMONS, (size, simulation) -> {
            simulation.table(Fleet.seatTable(size, 1));
            for (int i = 0; i < size; i++) {
                simulation.start(i, Duration.ofMinutes(1));
            }
            simulation.run(Duration.ofMinutes(1));
            simulation.settle(BOUND);
            simulation.forgetCounts();
            return measured.applyAsDouble(simulation);
        });
    }

    /** All daemons of one failure domain of a fleet of 720 start again within a second, on the same hosts. */
    private Series returning(String name, String unit, ToDoubleFunction<SeatSimulation> measured) {
        return series(name, unit, "daemons of the failure domain", DOMAIN_SIZES, (size, simulation) -> {
            simulation.table(Fleet.seatTable(size * Fleet.DOMAINS, 1));
            for (int i = 0; i < size; i++) {
                simulation.start(i * Fleet.DOMAINS, START_SPREAD);
            }
            return measured.applyAsDouble(simulation);
        });
    }

    /** All daemons of one failure domain were lost, and as many start on new hosts within a second. */
    private Series replaced(String name, String unit, ToDoubleFunction<SeatSimulation> measured) {
        return series(name, unit, "daemons of the failure domain", DOMAIN_SIZES, (size, simulation) -> {
            simulation.table(Fleet.seatTable(size * Fleet.DOMAINS, 1));
            for (int i = 0; i < size; i++) {
                simulation.startReplacement(i * Fleet.DOMAINS, START_SPREAD);
            }
            return measured.applyAsDouble(simulation);
        });
    }

    /** All daemons of a fleet start within a second and no seat table exists. */
    private Series first(String name, String unit, ToDoubleFunction<SeatSimulation> measured) {
        return series(name, unit, "daemons", DocumentSlopes.DAEMONS, (size, simulation) -> {
            for (int i = 0; i < size; i++) {
                simulation.start(i, START_SPREAD);
            }
            return measured.applyAsDouble(simulation);
        });
    }

    private Series series(String name, String unit, String sizeName, int[] sizes, Scenario scenario) {
        List<Point> points = new ArrayList<>();
        for (int size : sizes) {
            points.add(sampler.point(size, run -> scenario.measure(size, new SeatSimulation(run))));
        }
        return new Series(name, unit, sizeName, points);
    }

    @FunctionalInterface
    private interface Scenario {
        double measure(int size, SeatSimulation simulation);
    }
}
