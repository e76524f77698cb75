package org.lavenderwick.standins;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.collect.ImmutableMap;
import com.google.common.net.HostAndPort;
import org.lavenderwick.adapters.json.JsonMappers;
import org.lavenderwick.adapters.platform.PlatformPort;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.Term;
import org.lavenderwick.core.promotion.GroupRecord;
import org.lavenderwick.core.promotion.GroupState;
import org.lavenderwick.core.promotion.TermStart;
import org.lavenderwick.core.time.MonotonicClock;

import static com.google.common.base.Preconditions.checkArgument;

/** A platform and all endpoints of a configuration on loopback addresses, with their fault controls. */
public final class StandinFleet implements AutoCloseable {

    /** Lower numbers of a block are left to daemons and relays. */
    private static final int FIRST_ENDPOINT_NUMBER = 100;

    /** Not 127.0.0.1, whose ports clients without a bind address use up: a port must be free again after an outage. */
    private static final String PLATFORM_HOST = "127.0.0.100";

    private final StandinRuntime runtime;
    private final PlatformServer platform;
    private final Configuration configuration;
    private final Map<FailureDomain, Integer> blocks;
    private final Map<GroupName, GroupEmulator> groups = new LinkedHashMap<>();
    private final Map<EndpointName, EndpointServer> endpoints = new LinkedHashMap<>();
    private FleetControl control;

    private StandinFleet(Configuration template, Options options) {
        this.runtime = StandinRuntime.start();
        this.blocks = blocks(template);
        this.platform = PlatformServer.start(
                runtime, options.platformHost(), options.platformPort(), options.monotonicClock(), options.hostLag());
        Map<GroupName, GroupSettings> started = new LinkedHashMap<>();
        try {
            for (GroupSettings group : template.groups().values()) {
                started.put(group.name(), startGroup(placed(group), options));
            }
        } catch (RuntimeException e) {
            close();
            throw e;
        }
        this.configuration = new Configuration(
                template.version(), template.services(), started, template.plannedStops(), template.sessionKeys());
        started.values().forEach(this::writeFirstRecord);
        this.control = new FleetControl(this, runtime, PLATFORM_HOST);
    }

    /**
     * Starts the stand-ins. An endpoint whose address has port 0 is placed on the block of its failure domain at any
     * free port; all others listen at their address.
     */
    public static StandinFleet start(Configuration template, Options options) {
        return new StandinFleet(template, options);
    }

    /**
     * Returns the number n of the loopback block 127.0.n.x of each failure domain, from 1 in the order in which the
     * endpoints of the configuration name them.
     */
    public static Map<FailureDomain, Integer> blocks(Configuration configuration) {
        Map<FailureDomain, Integer> blocks = new LinkedHashMap<>();
        configuration
                .groups()
                .values()
                .forEach(group -> group.endpoints()
                        .forEach(endpoint -> blocks.putIfAbsent(endpoint.failureDomain(), blocks.size() + 1)));
        return ImmutableMap.copyOf(blocks);
    }

    /** Returns the configuration with the addresses at which the endpoints listen. */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Returns IP address and port of the fault controls of the endpoints: {@code GET /endpoints}, {@code POST
     * /endpoints/{name}/faults} and {@code POST /cut}. The platform has a control port of its own.
     */
    public String controlAddress() {
        return control.address();
    }

    /** Returns the platform. */
    public PlatformServer platform() {
        return platform;
    }

    /** Returns the number n of the loopback block 127.0.n.x of a failure domain. */
    public int block(FailureDomain domain) {
        checkArgument(blocks.containsKey(domain), "no endpoint stands in failure domain %s", domain);
        return blocks.get(domain);
    }

    /** Returns the shared state of a group. */
    public GroupEmulator group(GroupName name) {
        checkArgument(groups.containsKey(name), "no group %s", name);
        return groups.get(name);
    }

    /** Returns an endpoint. */
    public EndpointServer endpoint(EndpointName name) {
        checkArgument(endpoints.containsKey(name), "no endpoint %s", name);
        return endpoints.get(name);
    }

    /** Returns all endpoints. */
    public List<EndpointServer> endpoints() {
        return List.copyOf(endpoints.values());
    }

    /**
     * Cuts failure domains off: nothing passes between their addresses and the platform or the endpoints elsewhere.
     * Connections that crossed the cut stay silent when it ends. Links between daemons are not covered.
     */
    public void cutOff(Set<FailureDomain> domains) {
        Set<Integer> inside = domains.stream().map(this::block).collect(Collectors.toUnmodifiableSet());
        Set<Integer> outside = new HashSet<>(blocks.values());
        outside.removeAll(inside);
        endpoints.forEach((name, endpoint) ->
                endpoint.silentBlocks(inside.contains(block(failureDomain(name))) ? outside : inside));
        platform.faults(platform.faults().withSilentBlocks(inside));
    }

    /** Ends a cut. */
    public void reconnect() {
        cutOff(Set.of());
    }

    /** Writes the configuration of this fleet to the platform, if there is none yet. */
    public void publishConfiguration() {
        platform.compareAndSwap("configuration/current", json(configuration), PlatformPort.ABSENT);
    }

    @Override
    public void close() {
        if (control != null) {
            control.close();
        }
        endpoints.values().forEach(EndpointServer::close);
        groups.values().forEach(GroupEmulator::close);
        platform.close();
        runtime.close();
    }

    private GroupSettings placed(GroupSettings group) {
        List<EndpointSettings> placed = new ArrayList<>();
        for (EndpointSettings endpoint : group.endpoints()) {
            boolean free = HostAndPort.fromString(endpoint.address()).getPort() == 0;
            String address = "127.0." + block(endpoint.failureDomain()) + "." + FIRST_ENDPOINT_NUMBER + ":0";
            placed.add(free ? withAddress(endpoint, address) : endpoint);
        }
        return new GroupSettings(group.name(), group.service(), placed);
    }

    private GroupSettings startGroup(GroupSettings group, Options options) {
        GroupEmulator emulator =
                GroupEmulator.start(group, runtime, options.endpoints(), options.clock(), options.history());
        groups.put(group.name(), emulator);
        List<EndpointSettings> started = new ArrayList<>();
        for (EndpointSettings endpoint : group.endpoints()) {
            EndpointServer server = EndpointServer.start(endpoint, emulator, options.endpoints(), runtime);
            checkArgument(endpoints.put(endpoint.name(), server) == null, "two endpoints %s", endpoint.name());
            started.add(withAddress(endpoint, server.address()));
        }
        return new GroupSettings(group.name(), group.service(), started);
    }

    private FailureDomain failureDomain(EndpointName name) {
        return configuration.groups().values().stream()
                .flatMap(group -> group.endpoint(name).stream())
                .findFirst()
                .orElseThrow()
                .failureDomain();
    }

    private static EndpointSettings withAddress(EndpointSettings endpoint, String address) {
        return new EndpointSettings(
                endpoint.name(), endpoint.failureDomain(), address, endpoint.connectionLimit(), endpoint.slots());
    }

    private void writeFirstRecord(GroupSettings group) {
        GroupRecord record = new GroupRecord(
                Term.of(1),
                group.endpoints().get(0).name(),
                GroupState.OPEN,
                List.of(new TermStart(Term.of(1), 0)),
                0,
                "initial",
                false,
                Optional.empty());
        platform.compareAndSwap("groups/" + group.name(), json(record), PlatformPort.ABSENT);
    }

    private static String json(Object value) {
        JsonMapper mapper = JsonMappers.create();
        try {
            return mapper.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a value has no JSON form", e);
        }
    }

    /**
     * Choices for a fleet of stand-ins.
     *
     * @param endpoints timing of the endpoints
     * @param platformHost IP address of the platform
     * @param platformPort port of the platform; 0 for any free one
     * @param hostLag time after which a change of the platform's list of hosts becomes visible
     * @param clock wall clock of the endpoints
     * @param monotonicClock clock of the platform's leases
     * @param history receiver of the endpoints' events
     */
    public record Options(
            EndpointOptions endpoints,
            String platformHost,
            int platformPort,
            Duration hostLag,
            InstantSource clock,
            MonotonicClock monotonicClock,
            EndpointHistory history) {

        /** Default timing, system clocks, any free port, no history. */
        public static Options standard() {
            return new Options(
                    EndpointOptions.DEFAULT,
                    PLATFORM_HOST,
                    0,
                    Duration.ofSeconds(5),
                    InstantSource.system(),
                    () -> Duration.ofNanos(System.nanoTime()),
                    EndpointHistory.NONE);
        }

        /** Returns these options with another timing of the endpoints. */
        public Options withEndpoints(EndpointOptions changed) {
            return new Options(changed, platformHost, platformPort, hostLag, clock, monotonicClock, history);
        }

        /** Returns these options with another receiver of events. */
        public Options withHistory(EndpointHistory changed) {
            return new Options(endpoints, platformHost, platformPort, hostLag, clock, monotonicClock, changed);
        }

        /** Returns these options with another lag of the list of hosts. */
        public Options withHostLag(Duration changed) {
            return new Options(endpoints, platformHost, platformPort, changed, clock, monotonicClock, history);
        }

        /** Returns these options with another platform port. */
        public Options withPlatformPort(int changed) {
            return new Options(endpoints, platformHost, changed, hostLag, clock, monotonicClock, history);
        }

        /** Returns these options with another platform address. */
        public Options withPlatformHost(String changed) {
            return new Options(endpoints, changed, platformPort, hostLag, clock, monotonicClock, history);
        }
    }
}
