package org.lavenderwick.scenarios;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.cli.cluster.LocalCluster;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.configuration.RankSettings;
import org.lavenderwick.core.configuration.ServiceSettings;
import org.lavenderwick.core.configuration.SessionKey;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.RankName;
import org.lavenderwick.core.model.ServiceName;
import org.lavenderwick.core.model.Term;
import org.lavenderwick.daemon.Daemon;
import org.lavenderwick.daemon.DaemonOptions;
import org.lavenderwick.standins.EndpointHistoryRecorder;
import org.lavenderwick.standins.EndpointServer;
import org.lavenderwick.standins.PlatformFaults;
import org.lavenderwick.standins.Replication;
import org.lavenderwick.standins.StandinFleet;
import org.lavenderwick.standins.history.AppliedWrite;
import org.lavenderwick.standins.history.TermOpening;

/** Daemons and stand-ins with the history of callers and endpoints; one database group of three endpoints. */
final class ScenarioCluster implements AutoCloseable {
    /** Bound of every wait for something that must happen; only a failing scenario takes this long. */
    static final Duration BOUND = Duration.ofSeconds(60);

    private final Instant origin = Instant.now();
    private final EndpointHistoryRecorder recorder = new EndpointHistoryRecorder(origin);
    private final Records records = new Records(origin);
    private final Set<Long> plannedTerms = ConcurrentHashMap.newKeySet();
    private final LocalCluster cluster;
    private final Callers callers;

    private ScenarioCluster(int daemonCount) throws Exception {
        cluster = LocalCluster.start(
                configuration(),
                StandinFleet.Options.standard().withHistory(recorder).withHostLag(Duration.ofMillis(500)),
                daemonCount,
                DaemonOptions.standard());
        callers = new Callers(this::callerAddresses, records);
    }

    static ScenarioCluster start(int daemonCount) throws Exception {
        return new ScenarioCluster(daemonCount);
    }

    /** Returns the services and groups that all scenarios use. */
    static Configuration configuration() {
        ServiceName service = ServiceName.of("orders");
        List<RankSettings> ranks = List.of(
                new RankSettings(RankName.of("urgent"), Duration.ofMillis(50), 10, 0.3),
                new RankSettings(RankName.of("normal"), Duration.ofMillis(500), 3, 0.2),
                new RankSettings(RankName.of("later"), Duration.ofSeconds(2), 1, 0.1));
        List<EndpointSettings> endpoints = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            endpoints.add(new EndpointSettings(
                    EndpointName.of("ledger-" + i), FailureDomain.of("domain-" + i), "127.0.0.1:0", 24, 3));
        }
        return new Configuration(
                1,
                Map.of(service, new ServiceSettings(service, ranks, Duration.ZERO)),
                Map.of(Caller.GROUP, new GroupSettings(Caller.GROUP, service, endpoints)),
                List.of(),
                List.of(new SessionKey("k1", Base64.getEncoder().encodeToString(new byte[32]))));
    }

    LocalCluster local() {
        return cluster;
    }

    StandinFleet fleet() {
        return cluster.fleet();
    }

    Records records() {
        return records;
    }

    Callers callers() {
        return callers;
    }

    private List<String> callerAddresses() {
        return cluster.daemons().stream()
                .map(daemon -> daemon.address() + ":" + daemon.callerPort())
                .toList();
    }

    /** Returns the state of the endpoint that is primary of the newest term. */
    EndpointStatus primary() {
        return fleet().endpoints().stream()
                .map(EndpointServer::status)
                .filter(EndpointStatus::primary)
                .max((one, other) -> one.term().compareTo(other.term()))
                .orElseThrow();
    }

    EndpointServer primaryServer() {
        return fleet().endpoint(primary().endpoint());
    }

    List<EndpointServer> replicas() {
        EndpointName primary = primary().endpoint();
        return fleet().endpoints().stream()
                .filter(endpoint -> !endpoint.name().equals(primary))
                .toList();
    }

    FailureDomain domain(EndpointName endpoint) {
        return fleet().configuration()
                .groups()
                .get(Caller.GROUP)
                .endpoint(endpoint)
                .orElseThrow()
                .failureDomain();
    }

    /** Returns the lead owner of the group, once there is exactly one. */
    Daemon lead() throws InterruptedException {
        await("one lead owner", () -> cluster.lead(Caller.GROUP).isPresent());
        return cluster.lead(Caller.GROUP).orElseThrow();
    }

    /** Notes that an operator ordered the change of primary that began this term. */
    void planned(Term term) {
        plannedTerms.add(term.number());
    }

    List<AppliedWrite> writes() {
        return recorder.writes();
    }

    List<TermOpening> openings() {
        return recorder.openings((group, term) -> plannedTerms.contains(term.number()));
    }

    void await(String what, BooleanSupplier condition) throws InterruptedException {
        try {
            LocalCluster.await(what, BOUND, condition);
        } catch (IllegalStateException e) {
            throw new AssertionError(e.getMessage() + " Answers so far: " + records.kinds(0) + "; " + state(), e);
        }
    }

    private String state() {
        return cluster.daemons().stream()
                .map(Daemon::status)
                .map(status -> status.daemon() + " configuration " + status.configurationVersion() + " groups "
                        + status.groups())
                .collect(Collectors.joining("; "));
    }

    /** Ends all faults and waits until every endpoint follows the primary and every daemon serves. */
    void heal(int daemonCount, Set<EndpointName> dead) throws Exception {
        fleet().platform().faults(PlatformFaults.NONE);
        cluster.reconnect();
        dead.forEach(name -> fleet().endpoint(name).restart());
        fleet().endpoints().forEach(endpoint -> {
            endpoint.resume();
            endpoint.clearFaults();
            endpoint.replication(Replication.PROMPT);
        });
        while (cluster.daemons().size() < daemonCount) {
            cluster.startDaemon(emptyDomain().orElse(FailureDomain.of("domain-1")));
        }
        await(
                "healthy replicas",
                () -> fleet().endpoints().stream()
                        .allMatch(endpoint ->
                                endpoint.status().point().equals(primary().point())));
        await(
                "ready daemons with seats",
                () -> cluster.daemons().stream()
                        .allMatch(daemon ->
                                daemon.ready() && daemon.status().seat().isPresent()));
        await(
                "one lead owner that knows the primary",
                () -> cluster.lead(Caller.GROUP)
                        .filter(lead -> lead.status().groups().stream()
                                .anyMatch(group -> group.primary()
                                        .equals(Optional.of(primary().endpoint()))))
                        .isPresent());
    }

    private Optional<FailureDomain> emptyDomain() {
        Set<FailureDomain> used =
                cluster.daemons().stream().map(cluster::domain).collect(Collectors.toSet());
        return fleet().endpoints().stream()
                .map(endpoint -> domain(endpoint.name()))
                .filter(domain -> !used.contains(domain))
                .findFirst();
    }

    @Override
    public void close() {
        cluster.close();
    }
}
