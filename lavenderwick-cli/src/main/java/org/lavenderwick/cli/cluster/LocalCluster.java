package org.lavenderwick.cli.cluster;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;

import com.google.common.collect.ImmutableList;
import org.lavenderwick.adapters.platform.HostEntry;
import org.lavenderwick.adapters.settings.DaemonSettings;
import org.lavenderwick.adapters.settings.LogFormat;
import org.lavenderwick.adapters.settings.Timeouts;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.daemon.Daemon;
import org.lavenderwick.daemon.DaemonOptions;
import org.lavenderwick.standins.LinkRelay;
import org.lavenderwick.standins.LinkRule;
import org.lavenderwick.standins.StandinFleet;

/**
 * Stand-ins and daemons on loopback addresses. Daemons are placed in the failure domains of the configuration in turn,
 * each on its own address of the domain's block, and reach one another through relays that a partition silences.
 */
public final class LocalCluster implements AutoCloseable {
    private static final int TRAFFIC_THREADS = 4;
    private static final int MAX_REQUEST_BYTES = 100_000;
    private static final int DAEMON_HOST_BASE = 10;
    private static final int RELAY_HOST_BASE = 100;

    /** Pause between two looks at a condition that is awaited. */
    private static final long POLL_MILLIS = 20;

    private final StandinFleet fleet;
    private final DaemonOptions options;
    private final List<FailureDomain> domains;
    private final List<Daemon> daemons = new CopyOnWriteArrayList<>();
    private final Map<Daemon, Placement> placements = new ConcurrentHashMap<>();
    private int started;

    private record Placement(FailureDomain domain, LinkRelay relay) {}

    private LocalCluster(StandinFleet fleet, DaemonOptions options) {
        this.fleet = fleet;
        this.options = options;
        this.domains =
                ImmutableList.copyOf(StandinFleet.blocks(fleet.configuration()).keySet());
    }

    /**
     * Starts stand-ins with the configuration in force, and daemons; returns once all daemons are ready.
     *
     * @param configuration services and groups; addresses of endpoints are replaced
     * @param standins timing and history of the stand-ins
     * @param daemonCount number of daemons
     * @param options policies of the daemons
     * @throws Exception if a part cannot start
     */
    public static LocalCluster start(
            Configuration configuration, StandinFleet.Options standins, int daemonCount, DaemonOptions options)
            throws Exception {
        StandinFleet fleet = StandinFleet.start(configuration, standins);
        LocalCluster cluster = new LocalCluster(fleet, options);
        try {
            fleet.publishConfiguration();
            for (int i = 0; i < daemonCount; i++) {
                cluster.startDaemon();
            }
            cluster.awaitReady(daemonCount);
            return cluster;
        } catch (Exception e) {
            cluster.close();
            throw e;
        }
    }

    /** Starts one more daemon in the next failure domain in turn. */
    public Daemon startDaemon() throws Exception {
        return startDaemon(domains.get(started % domains.size()));
    }

    /** Starts one more daemon in the given failure domain. It may not be ready yet on return. */
    public synchronized Daemon startDaemon(FailureDomain domain) throws Exception {
        int number = started;
        started++;
        String block = "127.0." + fleet.block(domain) + ".";
        String address = block + (DAEMON_HOST_BASE + number);
        int peerPort = freePort(address);
        LinkRelay relay = LinkRelay.start(block + (RELAY_HOST_BASE + number), 0, address + ":" + peerPort);
        DaemonSettings settings = new DaemonSettings(
                DaemonName.of("daemon-" + number),
                domain,
                address,
                0,
                0,
                peerPort,
                fleet.platform().address(),
                List.of(),
                TRAFFIC_THREADS,
                MAX_REQUEST_BYTES,
                LogFormat.TEXT,
                Timeouts.DEFAULTS);
        Daemon daemon = Daemon.start(settings, options.withAdvertisedPeerAddress(relay.address()));
        placements.put(daemon, new Placement(domain, relay));
        daemons.add(daemon);
        fleet.platform().putHost(new HostEntry(settings.daemon(), domain, daemon.peerAddress(), false));
        return daemon;
    }

    /** Waits until all daemons are ready and know the given number of seats, and each group has a lead that serves. */
    public void awaitReady(int seats) throws InterruptedException {
        await(
                "ready daemons",
                Duration.ofSeconds(40),
                () -> daemons.stream()
                        .map(Daemon::status)
                        .allMatch(status ->
                                status.ready() && status.seat().isPresent() && status.seatTableVersion() >= seats));
        await(
                "owners with usable connection shares",
                Duration.ofSeconds(40),
                () -> fleet.configuration().groups().keySet().stream().allMatch(this::isServed));
    }

    private boolean isServed(GroupName group) {
        return lead(group)
                .flatMap(daemon -> daemon.status().groups().stream()
                        .filter(report -> report.group().equals(group))
                        .findFirst())
                .filter(report -> report.endpoints().stream().allMatch(endpoint -> endpoint.share() > 0))
                .isPresent();
    }

    /** Stops a daemon without a drain: its connections break, as when its process dies. */
    public void kill(Daemon daemon) {
        daemons.remove(daemon);
        placements.get(daemon).relay().close();
        daemon.close();
    }

    /** Cuts the given failure domains off from all others, daemons as well as endpoints. */
    public void cutOff(Set<FailureDomain> cut) {
        fleet.cutOff(cut);
        for (Placement placement : placements.values()) {
            boolean inside = cut.contains(placement.domain());
            domains.stream()
                    .filter(domain -> cut.contains(domain) != inside)
                    .forEach(domain -> placement.relay().rule(fleet.block(domain), LinkRule.SILENT));
        }
    }

    /** Ends all partitions. */
    public void reconnect() {
        fleet.reconnect();
        placements.values().forEach(placement -> placement.relay().clearRules());
    }

    /** Returns the daemons that run. */
    public List<Daemon> daemons() {
        return daemons;
    }

    /** Returns the failure domain of a daemon. */
    public FailureDomain domain(Daemon daemon) {
        return placements.get(daemon).domain();
    }

    /** Returns the relay through which other daemons reach this one. */
    public LinkRelay relay(Daemon daemon) {
        return placements.get(daemon).relay();
    }

    /** Returns the daemon that takes itself for the lead owner of the group, if exactly one does. */
    public Optional<Daemon> lead(GroupName group) {
        List<Daemon> leads = daemons.stream()
                .filter(daemon -> daemon.status().groups().stream()
                        .anyMatch(report -> report.group().equals(group) && report.lead()))
                .toList();
        return leads.size() == 1 ? Optional.of(leads.get(0)) : Optional.empty();
    }

    /** Returns the stand-ins. */
    public StandinFleet fleet() {
        return fleet;
    }

    /**
     * Waits until the condition holds.
     *
     * @throws IllegalStateException if it does not hold within the bound
     */
    public static void await(String what, Duration bound, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + bound.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new IllegalStateException("No " + what + " within " + bound + ".");
            }
            Thread.sleep(POLL_MILLIS);
        }
    }

    @Override
    public void close() {
        new ArrayList<>(daemons).forEach(this::kill);
        fleet.close();
    }

    private static int freePort(String address) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
            return socket.getLocalPort();
        }
    }
}
