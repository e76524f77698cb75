package org.lavenderwick.benchmarks.slopes;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import java.util.function.Supplier;

import com.google.common.collect.ImmutableSortedMap;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.ConfigurationChanges;
import org.lavenderwick.core.configuration.ConfigurationHistory;
import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.membership.Owners;
import org.lavenderwick.core.membership.SeatTable;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.session.SessionToken;
import org.lavenderwick.core.session.SessionTokenCodec;
import org.lavenderwick.protocol.ExchangeResponse;
import org.lavenderwick.protocol.WireDigest;
import org.lavenderwick.protocol.WireNews;

/** Bytes, processor time and memory of the shared documents, of the computation of owners and of session tokens. */
final class DocumentSlopes {
    static final int[] GROUPS = {10, 100, 1_100};
    static final int[] DAEMONS = {6, 60, 240, 720};
    private static final int[] TOKEN_GROUPS = {1, 4, 16, 32};
    private static final int[] SESSIONS = {1_000, 10_000, 50_000};
    private static final int TARGET_GROUPS = 1_100;

    private final Sampler sampler;

    DocumentSlopes(Sampler sampler) {
        this.sampler = sampler;
    }

    List<Series> configuration() {
        List<Series> series = new ArrayList<>();
        series.add(bytes("configuration document", "groups", GROUPS, n -> Wire.json(Fleet.configuration(n, 1))));
        series.add(bytes("configuration change", "groups", GROUPS, n -> Wire.json(changes(n))));
        series.add(cpu("configuration: write the document", "groups", GROUPS, n -> {
            Configuration full = Fleet.configuration(n, 1);
            return () -> Wire.json(full);
        }));
        series.add(cpu("configuration: read the document", "groups", GROUPS, n -> {
            byte[] full = Wire.json(Fleet.configuration(n, 1));
            return () -> Wire.parse(full, Configuration.class);
        }));
        series.add(cpu("configuration: find and write a change", "groups", GROUPS, n -> {
            ConfigurationHistory history = history(n, 2);
            return () -> Wire.json(history.changesSince(1).orElseThrow());
        }));
        series.add(cpu("configuration: read and apply a change", "groups", GROUPS, n -> {
            Configuration base = Fleet.configuration(n, 1);
            byte[] change = Wire.json(changes(n));
            return () -> Wire.parse(change, ConfigurationChanges.class).applyTo(base);
        }));
        series.add(retained("configuration with 64 versions of history", "groups", GROUPS, n -> {
            return history(n, ConfigurationHistory.CAPACITY);
        }));
        return series;
    }

    List<Series> seats() {
        List<Series> series = new ArrayList<>();
        series.add(bytes("seat table on the platform", "daemons", DAEMONS, n -> Wire.json(Fleet.seatTable(n, 1))));
        series.add(bytes("seat table between daemons", "daemons", DAEMONS, n -> tableFrame(Fleet.seatTable(n, 1))));
        series.add(cpu("seat table: write for a peer", "daemons", DAEMONS, n -> {
            SeatTable table = Fleet.seatTable(n, 1);
            return () -> tableFrame(table);
        }));
        series.add(cpu("seat table: change one seat and write for the platform", "daemons", DAEMONS, n -> {
            SeatTable table = Fleet.seatTable(n, 1);
            return () -> Wire.json(table.with(Fleet.seat(n - 1, 1), 2));
        }));
        series.add(cpu("seat table: read from the platform", "daemons", DAEMONS, n -> {
            byte[] table = Wire.json(Fleet.seatTable(n, 1));
            return () -> Wire.parse(table, SeatTable.class);
        }));
        series.add(retained("seat table", "daemons", DAEMONS, n -> {
            return Wire.parse(Wire.json(Fleet.seatTable(n, 1)), SeatTable.class);
        }));
        return series;
    }

    List<Series> owners() {
        Configuration configuration = Fleet.configuration(TARGET_GROUPS, 1);
        List<Series> series = new ArrayList<>();
        series.add(cpu("owners of one group, first time", "daemons", DAEMONS, n -> {
            Owners owners = Owners.of(Fleet.seatTable(n, 1));
            GroupSettings group = configuration.groups().values().iterator().next();
            List<FailureDomain> domains = group.endpoints().stream()
                    .map(EndpointSettings::failureDomain)
                    .toList();
            return () -> owners.ownersOf(group.name(), domains);
        }));
        series.add(cpu("owners of one group, as each request asks", "daemons", DAEMONS, n -> {
            Owners owners = Owners.of(Fleet.seatTable(n, 1));
            GroupSettings group = configuration.groups().values().iterator().next();
            return () -> owners.ownersOf(group);
        }));
        series.add(cpu("owners of 1,100 groups under a new table", "daemons", DAEMONS, n -> {
            SeatTable table = Fleet.seatTable(n, 1);
            return () -> {
                Owners owners = Owners.of(table);
                return configuration.groups().values().stream()
                        .map(owners::ownersOf)
                        .toList();
            };
        }));
        return series;
    }

    List<Series> tokens() {
        SessionTokenCodec codec =
                SessionTokenCodec.of(Fleet.configuration(GROUPS[0], 1).sessionKeys());
        List<Series> series = new ArrayList<>();
        series.add(bytes(
                "session token",
                "groups in the token",
                TOKEN_GROUPS,
                n -> codec.encode(token(n)).getBytes(StandardCharsets.US_ASCII)));
        series.add(cpu("session token: open and seal", "groups in the token", TOKEN_GROUPS, n -> {
            String sealed = codec.encode(token(n));
            return () -> codec.encode(codec.decodeToken(sealed).get());
        }));
        series.add(retained("sessions served", "sessions", SESSIONS, n -> {
            for (int i = 0; i < n; i++) {
                codec.decodeToken(codec.encode(token(1 + i % TOKEN_GROUPS.length)))
                        .get();
            }
            return codec;
        }));
        return series;
    }

    private static SessionToken token(int groups) {
        ImmutableSortedMap.Builder<GroupName, LogPoint> points = ImmutableSortedMap.naturalOrder();
        for (int i = 0; i < groups; i++) {
            points.put(GroupName.of("database-%04d".formatted(i)), LogPoint.of(7, 123_456_789L + i));
        }
        return new SessionToken(points.build());
    }

    private static ConfigurationChanges changes(int groups) {
        Configuration base = Fleet.configuration(groups, 1);
        return ConfigurationChanges.between(base, Fleet.changed(base));
    }

    private static ConfigurationHistory history(int groups, int versions) {
        ConfigurationHistory history = ConfigurationHistory.create();
        Configuration current = history.add(Fleet.configuration(groups, 1));
        for (int i = 1; i < versions; i++) {
            // Each version arrives as a change in JSON, as it does from a peer.
            Configuration next = Fleet.changed(current);
            ConfigurationChanges received =
                    Wire.parse(Wire.json(ConfigurationChanges.between(current, next)), ConfigurationChanges.class);
            current = history.add(received.applyTo(current));
        }
        return history;
    }

    static byte[] tableFrame(SeatTable table) {
        WireNews news = new WireNews();
        news.setSeatTable(Wire.wire(table));
        ExchangeResponse response = new ExchangeResponse(new WireDigest(1_000, 1_000));
        response.setNews(news);
        return Wire.frame(response);
    }

    private Series bytes(String name, String sizeName, int[] sizes, IntFunction<byte[]> document) {
        List<Point> points = new ArrayList<>();
        for (int size : sizes) {
            points.add(sampler.point(size, run -> (double) document.apply(size).length));
        }
        return new Series(name, "bytes", sizeName, points);
    }

    private Series cpu(String name, String sizeName, int[] sizes, IntFunction<Supplier<?>> operation) {
        List<Point> points = new ArrayList<>();
        for (int size : sizes) {
            points.add(sampler.cpuMicros(size, operation.apply(size)));
        }
        return new Series(name, "us of CPU", sizeName, points);
    }

    private Series retained(String name, String sizeName, int[] sizes, IntFunction<Object> made) {
        List<Point> points = new ArrayList<>();
        for (int size : sizes) {
            points.add(sampler.point(size, run -> Sampler.retainedBytes(() -> made.apply(size))));
        }
        return new Series(name, "bytes of memory", sizeName, points);
    }
}
