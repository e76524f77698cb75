package org.lavenderwick.adapters.sheet;

import java.math.BigDecimal;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.configuration.PlannedStop;
import org.lavenderwick.core.configuration.RankSettings;
import org.lavenderwick.core.configuration.ServiceSettings;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.RankName;
import org.lavenderwick.core.model.ServiceName;

/**
 * Builds the content of a sheet from its rows in two passes: first all names are declared, then references are
 * resolved. A row with a fault still declares its name, so that one fault is not reported again at each reference.
 */
final class SheetBuilder {

    private static final long MAX_TARGET_MS = Duration.ofHours(1).toMillis();
    private static final long MAX_STALENESS_MS = Duration.ofDays(1).toMillis();
    private static final int MAX_WORTH = 1_000_000;
    private static final int MAX_PER_ENDPOINT = 100_000;

    private final Map<String, Service> services = new LinkedHashMap<>();
    private final Map<String, Group> groups = new LinkedHashMap<>();
    private final Set<String> addresses = new HashSet<>();
    private final Set<String> endpointNames = new HashSet<>();
    private final List<SheetRow> stopRows = new ArrayList<>();
    private final List<PlannedStop> stops = new ArrayList<>();

    private static final class Service {
        private final SheetRow row;
        private final Set<String> rankNames = new HashSet<>();
        private final List<RankSettings> ranks = new ArrayList<>();
        private Duration maxStaleness = Duration.ZERO;
        private BigDecimal floorSum = BigDecimal.ZERO;

        private Service(SheetRow row) {
            this.row = row;
        }
    }

    private static final class Group {
        private final SheetRow row;
        private final Set<String> endpointNames = new HashSet<>();
        private final List<EndpointSettings> endpoints = new ArrayList<>();
        private String service;

        private Group(SheetRow row) {
            this.row = row;
        }
    }

    /** First pass: declares services and groups. */
    void declare(SheetRow row) {
        if (row.kind() == RowKind.SERVICE) {
            row.name(SheetColumn.NAME).ifPresent(name -> {
                if (services.putIfAbsent(name, new Service(row)) != null) {
                    row.report(SheetColumn.NAME, "names the service \"" + name + "\" a second time");
                }
            });
        } else if (row.kind() == RowKind.GROUP) {
            row.name(SheetColumn.NAME).ifPresent(name -> {
                if (groups.putIfAbsent(name, new Group(row)) != null) {
                    row.report(SheetColumn.NAME, "names the group \"" + name + "\" a second time");
                }
            });
        }
    }

    /** Second pass: reads the other columns and resolves references; stops come after all endpoints. */
    void add(SheetRow row) {
        switch (row.kind()) {
            case SERVICE -> addService(row);
            case RANK -> addRank(row);
            case GROUP -> addGroup(row);
            case ENDPOINT -> addEndpoint(row);
            case STOP -> stopRows.add(row);
            default -> throw new IllegalStateException("unknown kind " + row.kind());
        }
    }

    /** Adds the stops and reports services without ranks and groups without endpoints. */
    void checkComplete() {
        stopRows.forEach(this::addStop);
        services.forEach((name, service) -> {
            if (service.rankNames.isEmpty()) {
                service.row.report(SheetColumn.NAME, "names a service without a row of kind rank");
            }
        });
        groups.forEach((name, group) -> {
            if (group.endpointNames.isEmpty()) {
                group.row.report(SheetColumn.NAME, "names a group without a row of kind endpoint");
            }
        });
    }

    /** Returns the content. Called only if no fault was reported. */
    Sheet build() {
        Map<ServiceName, ServiceSettings> builtServices = new LinkedHashMap<>();
        services.forEach((text, service) -> {
            ServiceName name = ServiceName.of(text);
            builtServices.put(name, new ServiceSettings(name, service.ranks, service.maxStaleness));
        });
        Map<GroupName, GroupSettings> builtGroups = new LinkedHashMap<>();
        groups.forEach((text, group) -> {
            GroupName name = GroupName.of(text);
            builtGroups.put(name, new GroupSettings(name, ServiceName.of(group.service), group.endpoints));
        });
        return new Sheet(builtServices, builtGroups, stops);
    }

    private void addService(SheetRow row) {
        Optional<Long> staleness = row.number(SheetColumn.MAX_STALENESS_MS, 0, MAX_STALENESS_MS, 0);
        services.values().stream()
                .filter(service -> service.row == row)
                .forEach(service -> service.maxStaleness = Duration.ofMillis(staleness.orElse(0L)));
    }

    private void addRank(SheetRow row) {
        Optional<Service> service = reference(row, SheetColumn.SERVICE, services);
        Optional<String> name = row.name(SheetColumn.NAME);
        Optional<Long> target = row.number(SheetColumn.TARGET_MS, 1, MAX_TARGET_MS);
        Optional<Long> worth = row.number(SheetColumn.WORTH, 1, MAX_WORTH);
        Optional<BigDecimal> floor = row.share(SheetColumn.FLOOR_SHARE);
        if (service.isEmpty() || name.isEmpty()) {
            return;
        }
        if (!service.get().rankNames.add(name.get())) {
            row.report(SheetColumn.NAME, "names the rank \"" + name.get() + "\" of this service a second time");
        }
        if (floor.isPresent()) {
            addFloor(row, service.get(), floor.get());
        }
        if (target.isPresent() && worth.isPresent() && floor.isPresent()) {
            service.get()
                    .ranks
                    .add(new RankSettings(
                            RankName.of(name.get()),
                            Duration.ofMillis(target.get()),
                            worth.get().intValue(),
                            floor.get().doubleValue()));
        }
    }

    private static void addFloor(SheetRow row, Service service, BigDecimal floor) {
        boolean wasWithin = service.floorSum.compareTo(BigDecimal.ONE) <= 0;
        service.floorSum = service.floorSum.add(floor);
        if (wasWithin && service.floorSum.compareTo(BigDecimal.ONE) > 0) {
            row.report(
                    SheetColumn.FLOOR_SHARE,
                    "brings the floor shares of the service to " + service.floorSum.toPlainString()
                            + "; expected at most 1 in all");
        }
    }

    private void addGroup(SheetRow row) {
        Optional<Service> service = reference(row, SheetColumn.SERVICE, services);
        if (service.isPresent()) {
            String serviceName = row.name(SheetColumn.SERVICE).orElseThrow();
            groups.values().stream().filter(group -> group.row == row).forEach(group -> group.service = serviceName);
        }
    }

    private void addEndpoint(SheetRow row) {
        Optional<Group> group = reference(row, SheetColumn.GROUP, groups);
        Optional<String> name = row.name(SheetColumn.NAME);
        Optional<String> domain = row.name(SheetColumn.FAILURE_DOMAIN);
        Optional<String> address = row.address(SheetColumn.ADDRESS);
        Optional<Long> connections = row.number(SheetColumn.CONNECTIONS, 1, MAX_PER_ENDPOINT);
        Optional<Long> slots = row.number(SheetColumn.SLOTS, 1, MAX_PER_ENDPOINT);
        if (address.isPresent() && !addresses.add(address.get())) {
            row.report(SheetColumn.ADDRESS, "is \"" + address.get() + "\", which another endpoint has");
        }
        if (group.isEmpty() || name.isEmpty()) {
            return;
        }
        group.get().endpointNames.add(name.get());
        // Logs, metrics and orders of operators name endpoints without their group.
        if (!endpointNames.add(name.get())) {
            row.report(SheetColumn.NAME, "names the endpoint \"" + name.get() + "\" a second time");
        }
        if (domain.isPresent() && address.isPresent() && connections.isPresent() && slots.isPresent()) {
            group.get()
                    .endpoints
                    .add(new EndpointSettings(
                            EndpointName.of(name.get()),
                            FailureDomain.of(domain.get()),
                            address.get(),
                            connections.get().intValue(),
                            slots.get().intValue()));
        }
    }

    private void addStop(SheetRow row) {
        Optional<Group> group = reference(row, SheetColumn.GROUP, groups);
        Optional<String> endpoint = row.name(SheetColumn.NAME);
        Optional<Instant> from = row.time(SheetColumn.FROM);
        Optional<Instant> until = row.time(SheetColumn.UNTIL);
        if (group.isPresent()
                && endpoint.isPresent()
                && !group.get().endpointNames.contains(endpoint.get())) {
            row.report(SheetColumn.NAME, "is \"" + endpoint.get() + "\", which is no endpoint of the group");
        }
        if (from.isEmpty() || until.isEmpty()) {
            return;
        }
        if (!from.get().isBefore(until.get())) {
            row.report(SheetColumn.UNTIL, "is not after the start of the stop");
        } else if (group.isPresent() && endpoint.isPresent()) {
            GroupName groupName = GroupName.of(row.name(SheetColumn.GROUP).orElseThrow());
            stops.add(new PlannedStop(groupName, EndpointName.of(endpoint.get()), from.get(), until.get()));
        }
    }

    private static <T> Optional<T> reference(SheetRow row, SheetColumn column, Map<String, T> declared) {
        Optional<String> name = row.name(column);
        Optional<T> found = name.map(declared::get);
        if (name.isPresent() && found.isEmpty()) {
            row.report(column, "is \"" + name.get() + "\", which no row of kind " + column.header() + " names");
        }
        return found;
    }
}
