package org.lavenderwick.cli.bench;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.google.common.collect.ImmutableList;
import org.lavenderwick.adapters.sheet.Sheet;
import org.lavenderwick.adapters.sheet.SheetImport;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.configuration.RankSettings;
import org.lavenderwick.core.configuration.ServiceSettings;
import org.lavenderwick.core.configuration.SessionKey;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.RankName;
import org.lavenderwick.core.model.ServiceName;

/**
 * Configuration and load of one organisation.
 *
 * @param name name on the command line
 * @param configuration services and groups; endpoints stand at any free port of their failure domain's block
 * @param workloads the ordinary load
 * @param daemons number of daemons
 * @param faultGroup group whose primary is cut off or stopped
 * @param floodGroup group that a flood goes to
 */
record Deployment(
        String name,
        Configuration configuration,
        List<Workload> workloads,
        int daemons,
        GroupName faultGroup,
        GroupName floodGroup) {
    private static final int DAEMONS = 6;
    private static final int DEMO_DAEMONS = 2;

    /** Seals the tokens of a cluster that lives as long as one run, on loopback only. */
    private static final SessionKey RUN_KEY = new SessionKey(
            "run",
            Base64.getEncoder().encodeToString("session-key-of-one-local-run-32b".getBytes(StandardCharsets.US_ASCII)));

    /** Copies the list. */
    Deployment {
        workloads = ImmutableList.copyOf(workloads);
    }

    /** Returns the order desk, kiln schedule and stock ledger of the first organisation. */
    static Deployment huancahuasi() {
        Configuration configuration = fromSheet("huancahuasi.csv");
        List<Workload> workloads = List.of(
                workload(configuration, "orders", "counter", 40, 0.6),
                workload(configuration, "orders", "workshop", 30, 0.3),
                workload(configuration, "orders", "reports", 20, 0),
                workload(configuration, "kilns", "firing", 40, 0.1),
                workload(configuration, "kilns", "planning", 60, 0),
                workload(configuration, "kilns", "archive", 30, 0),
                workload(configuration, "stock", "picking", 40, 0.1),
                workload(configuration, "stock", "counting", 80, 0),
                workload(configuration, "stock", "audit", 120, 0));
        return new Deployment(
                "huancahuasi", configuration, workloads, DAEMONS, GroupName.of("orders"), GroupName.of("stock"));
    }

    /** Returns the job booking, refused-frame records, customer histories and charges of the second organisation. */
    static Deployment keenedge() {
        Configuration configuration = fromSheet("keenedge.csv");
        List<Workload> workloads = List.of(
                workload(configuration, "jobs", "dispatch", 40, 0.7),
                workload(configuration, "jobs", "office", 20, 0.3),
                workload(configuration, "jobs", "batch", 15, 0.2),
                workload(configuration, "frames", "bench", 30, 0.8),
                workload(configuration, "frames", "review", 20, 0),
                workload(configuration, "frames", "export", 15, 0),
                workload(configuration, "customers", "charges", 20, 0.7),
                workload(configuration, "customers", "history", 80, 0),
                workload(configuration, "customers", "statistics", 60, 0));
        return new Deployment(
                "keenedge", configuration, workloads, DAEMONS, GroupName.of("jobs"), GroupName.of("customers"));
    }

    /** Returns one group of three endpoints and two daemons in different failure domains. */
    static Deployment demo() {
        ServiceName service = ServiceName.of("orders");
        List<RankSettings> ranks = List.of(
                new RankSettings(RankName.of("urgent"), Duration.ofMillis(150), 100, 0.4),
                new RankSettings(RankName.of("normal"), Duration.ofSeconds(2), 10, 0.2),
                new RankSettings(RankName.of("later"), Duration.ofSeconds(30), 1, 0.1));
        GroupName group = GroupName.of("ledger");
        List<EndpointSettings> endpoints = new ArrayList<>();
        for (String letter : List.of("a", "b", "c")) {
            endpoints.add(new EndpointSettings(
                    EndpointName.of("ledger-" + letter), FailureDomain.of("domain-" + letter), "127.0.0.1:0", 20, 3));
        }
        Configuration configuration = new Configuration(
                1,
                Map.of(service, new ServiceSettings(service, ranks, Duration.ofSeconds(1))),
                Map.of(group, new GroupSettings(group, service, endpoints)),
                List.of(),
                List.of(RUN_KEY));
        List<Workload> workloads = List.of(
                workload(configuration, "ledger", "urgent", 40, 0.5),
                workload(configuration, "ledger", "normal", 40, 0.1),
                workload(configuration, "ledger", "later", 30, 0));
        return new Deployment("demo", configuration, workloads, DEMO_DAEMONS, group, group);
    }

    /** Returns the settings of a group. */
    GroupSettings group(GroupName group) {
        return configuration.groups().get(group);
    }

    private static Workload workload(
            Configuration configuration, String group, String rank, double perSecond, double writeShare) {
        GroupName name = GroupName.of(group);
        ServiceSettings service =
                configuration.services().get(configuration.groups().get(name).service());
        return new Workload(service, name, RankName.of(rank), perSecond, writeShare);
    }

    private static Configuration fromSheet(String file) {
        try (InputStream in = Deployment.class.getResourceAsStream(file)) {
            Sheet sheet = SheetImport.parse(in.readAllBytes())
                    .getOrElseThrow(problems -> new IllegalStateException("sheet " + file + " has faults " + problems));
            Map<GroupName, GroupSettings> groups = new LinkedHashMap<>();
            sheet.groups().forEach((name, group) -> groups.put(name, atAnyPort(group)));
            // Planned stops of the sheet would depend on the day of the run.
            return new Configuration(1, sheet.services(), groups, List.of(), List.of(RUN_KEY));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static GroupSettings atAnyPort(GroupSettings group) {
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
}
