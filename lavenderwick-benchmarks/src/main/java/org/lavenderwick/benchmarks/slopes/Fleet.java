package org.lavenderwick.benchmarks.slopes;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.configuration.PlannedStop;
import org.lavenderwick.core.configuration.RankSettings;
import org.lavenderwick.core.configuration.ServiceSettings;
import org.lavenderwick.core.configuration.SessionKey;
import org.lavenderwick.core.membership.Seat;
import org.lavenderwick.core.membership.SeatTable;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.RankName;
import org.lavenderwick.core.model.ServiceName;

/** Documents of a fleet of any size: 2 regions with 3 failure domains each, groups with 3 endpoints in one region. */
final class Fleet {
    static final int DOMAINS = 6;
    static final int DOMAINS_PER_REGION = 3;
    private static final int GROUPS_PER_SERVICE = 10;
    private static final int PLANNED_STOPS = 3;
    private static final int CONNECTION_LIMIT = 30;
    private static final int KEY_BYTES = 32;
    private static final long INCARNATION = 1_790_000_000_000L;
    private static final Instant START = Instant.parse("2026-12-04T00:00:00Z");

    private Fleet() {}

    static FailureDomain domain(int index) {
        int region = index / DOMAINS_PER_REGION % 2;
        return FailureDomain.of((region == 0 ? "sur-arequipa-" : "bc-coast-") + (char) ('a' + index % DOMAINS));
    }

    static DaemonName daemon(int index) {
        return DaemonName.of("lavenderwick-%04d".formatted(index));
    }

    static String address(int index) {
        return "10.%d.%d.%d:7300".formatted(index % DOMAINS + 1, index / DOMAINS / 250, index / DOMAINS % 250 + 1);
    }

    static Seat seat(int index, long incarnation) {
        return new Seat(
                index / DOMAINS + 1,
                domain(index % DOMAINS),
                daemon(index),
                INCARNATION + incarnation,
                address(index),
                false);
    }

    static SeatTable seatTable(int daemons, long version) {
        List<Seat> seats = new ArrayList<>();
        for (int i = 0; i < daemons; i++) {
            seats.add(seat(i, 0));
        }
        return new SeatTable(version, seats);
    }

    static Configuration configuration(int groups, long version) {
        Map<ServiceName, ServiceSettings> services = new LinkedHashMap<>();
        Map<GroupName, GroupSettings> byName = new LinkedHashMap<>();
        for (int i = 0; i < groups; i++) {
            ServiceName service = ServiceName.of("service-%03d".formatted(i / GROUPS_PER_SERVICE));
            services.computeIfAbsent(service, Fleet::service);
            GroupSettings group = group(i, service, CONNECTION_LIMIT);
            byName.put(group.name(), group);
        }
        List<PlannedStop> stops = new ArrayList<>();
        for (int i = 0; i < PLANNED_STOPS; i++) {
            GroupSettings group = List.copyOf(byName.values()).get(i);
            stops.add(new PlannedStop(
                    group.name(), group.endpoints().get(0).name(), START, START.plus(Duration.ofHours(1))));
        }
        List<SessionKey> keys = List.of(key("k2026-12"), key("k2026-11"));
        return new Configuration(version, services, byName, stops, keys);
    }

    /** Returns a configuration whose endpoints listen at free ports of this machine. */
    static Configuration loopback(int groups) {
        Configuration full = configuration(Math.max(PLANNED_STOPS, groups), 1);
        Map<GroupName, GroupSettings> placed = new LinkedHashMap<>();
        full.groups().values().stream().limit(groups).forEach(group -> placed.put(group.name(), loopback(group)));
        return new Configuration(1, full.services(), placed, List.of(), full.sessionKeys());
    }

    private static GroupSettings loopback(GroupSettings group) {
        List<EndpointSettings> endpoints = group.endpoints().stream()
                .map(endpoint -> new EndpointSettings(
                        endpoint.name(),
                        endpoint.failureDomain(),
                        "127.0.0.1:0",
                        endpoint.connectionLimit(),
                        endpoint.slots()))
                .toList();
        return new GroupSettings(group.name(), group.service(), endpoints);
    }

    /** Returns the next version, in which one group has another connection limit. */
    static Configuration changed(Configuration configuration) {
        int index = (int) (configuration.version() % configuration.groups().size());
        GroupName name = List.copyOf(configuration.groups().keySet()).get(index);
        Map<GroupName, GroupSettings> groups = new LinkedHashMap<>(configuration.groups());
        GroupSettings old = groups.get(name);
        groups.put(name, group(index, old.service(), old.endpoints().get(0).connectionLimit() + 1));
        return new Configuration(
                configuration.version() + 1,
                configuration.services(),
                groups,
                configuration.plannedStops(),
                configuration.sessionKeys());
    }

    private static GroupSettings group(int index, ServiceName service, int limit) {
        String name = "database-%04d".formatted(index);
        int region = index % 2;
        List<EndpointSettings> endpoints = new ArrayList<>();
        for (int i = 0; i < DOMAINS_PER_REGION; i++) {
            int domain = region * DOMAINS_PER_REGION + (index / 2 + i) % DOMAINS_PER_REGION;
            endpoints.add(new EndpointSettings(
                    EndpointName.of(name + "-" + (i + 1)),
                    domain(domain),
                    "10.%d.%d.%d:5432".formatted(domain + 101, index / 250, index % 250 + 1),
                    limit,
                    3));
        }
        return new GroupSettings(GroupName.of(name), service, endpoints);
    }

    private static ServiceSettings service(ServiceName name) {
        List<RankSettings> ranks = List.of(
                new RankSettings(RankName.of("urgent"), Duration.ofMillis(50), 10, 0.3),
                new RankSettings(RankName.of("normal"), Duration.ofMillis(300), 3, 0.2),
                new RankSettings(RankName.of("later"), Duration.ofSeconds(5), 1, 0.1));
        return new ServiceSettings(name, ranks, Duration.ofSeconds(2));
    }

    private static SessionKey key(String id) {
        return new SessionKey(id, Base64.getEncoder().encodeToString(new byte[KEY_BYTES]));
    }
}
