package org.lavenderwick.benchmarks.slopes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.ToDoubleFunction;

import org.lavenderwick.benchmarks.slopes.ExchangeSimulation.MessageSizes;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.ConfigurationChanges;
import org.lavenderwick.core.membership.Digest;
import org.lavenderwick.core.membership.PeerExchange;
import org.lavenderwick.protocol.ExchangeResponse;
import org.lavenderwick.protocol.WireDigest;

/** Bytes, processor time and spread of the exchange between daemons. */
final class ExchangeSlopes {
    private static final Duration WARM_UP = Duration.ofSeconds(20);
    private static final Duration STEADY = Duration.ofSeconds(20);
    private static final Duration CUT = Duration.ofSeconds(30);
    private static final Duration BOUND = Duration.ofSeconds(60);
    private static final int MILLIS = 1_000_000;

    private final Sampler sampler;

    ExchangeSlopes(Sampler sampler) {
        this.sampler = sampler;
    }

    List<Series> all() {
        List<Series> series = new ArrayList<>();
        series.add(series("exchange: steady traffic, sent and received", "bytes/s a daemon", simulation -> {
            double before = simulation.bytesPerMember();
            simulation.run(STEADY);
            return (simulation.bytesPerMember() - before) / STEADY.toSeconds();
        }));
        series.add(series("exchange: spread of a configuration change", "ms until all have it", simulation -> {
            simulation.newConfiguration();
            return millis(simulation.settle(BOUND));
        }));
        series.add(series("exchange: copies of a configuration change", "copies a daemon", simulation -> {
            simulation.newConfiguration();
            return copies(simulation);
        }));
        series.add(series("exchange: spread of a seat table", "ms until all have it", simulation -> {
            simulation.newSeatTable();
            return millis(simulation.settle(BOUND));
        }));
        series.add(series("exchange: copies of a seat table", "copies a daemon", simulation -> {
            simulation.newSeatTable();
            return copies(simulation);
        }));
        series.add(series("exchange: copies of a seat table, one of 20 within 2 s", "copies a daemon", simulation -> {
            double before = simulation.copiesPerMember();
            for (int i = 0; i < 20; i++) {
                simulation.newSeatTable();
                simulation.run(Duration.ofMillis(100));
            }
            simulation.settle(BOUND);
            return (simulation.copiesPerMember() - before) / 20;
        }));
        series.add(series("exchange: change after a failure domain is back", "ms until all have it", simulation -> {
            return afterCut(simulation, 1);
        }));
        series.add(series("exchange: change after a region is back", "ms until all have it", simulation -> {
            return afterCut(simulation, Fleet.DOMAINS_PER_REGION);
        }));
        series.add(roundCpu());
        return series;
    }

    private static double copies(ExchangeSimulation simulation) {
        double before = simulation.copiesPerMember();
        simulation.settle(BOUND);
        simulation.run(Duration.ofSeconds(2));
        return simulation.copiesPerMember() - before;
    }

    /** The change is made while the domains are cut off; the time counts from the end of the cut. */
    private static double afterCut(ExchangeSimulation simulation, int domains) {
        simulation.cut(domains);
        simulation.newConfiguration();
        simulation.run(CUT);
        simulation.cut(0);
        return millis(simulation.settle(BOUND));
    }

    private static double millis(Duration duration) {
        return duration.toNanos() / (double) MILLIS;
    }

    private Series series(String name, String unit, ToDoubleFunction<ExchangeSimulation> measured) {
        List<Point> points = new ArrayList<>();
        for (int size : DocumentSlopes.DAEMONS) {
            MessageSizes sizes = sizes(size);
            points.add(sampler.point(size, run -> {
                ExchangeSimulation simulation = new ExchangeSimulation(size, run, sizes);
                simulation.run(WARM_UP);
                return measured.applyAsDouble(simulation);
            }));
        }
        return new Series(name, unit, "daemons", points);
    }

    static MessageSizes sizes(int daemons) {
        Configuration base = Fleet.configuration(DocumentSlopes.GROUPS[2], 1);
        int response = Wire.frame(new ExchangeResponse(new WireDigest(1_000, 1_000))).length;
        return new MessageSizes(
                Wire.frame(Wire.request(null)).length,
                response,
                Wire.json(ConfigurationChanges.between(base, Fleet.changed(base))).length,
                DocumentSlopes.tableFrame(Fleet.seatTable(daemons, 1)).length - response);
    }

    /** One round: choice of peers, and writing and reading of the three calls and answers. */
    private Series roundCpu() {
        List<Point> points = new ArrayList<>();
        for (int size : DocumentSlopes.DAEMONS) {
            PeerExchange exchange = PeerExchange.create(Fleet.address(0), Fleet.domain(0), List.of(), new Random(size));
            exchange.onSeatTable(Fleet.seatTable(size, 1));
            Digest digest = Digest.of(1, 1);
            points.add(sampler.cpuMicros(
                    size,
                    () -> exchange.round(digest).stream()
                            .mapToInt(contact -> {
                                byte[] request = Wire.frame(Wire.request(null));
                                Wire.parseRequest(request);
                                exchange.onDigest(contact.address(), digest);
                                exchange.onResponse(contact, digest, digest);
                                return Wire.frame(new ExchangeResponse(new WireDigest(1, 1))).length;
                            })
                            .sum()));
        }
        return new Series("exchange: one round with its answers", "us of CPU", "daemons", points);
    }
}
