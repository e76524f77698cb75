package org.lavenderwick.scenarios;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.cucumber.java.After;
import io.cucumber.java.Before;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.lavenderwick.adapters.json.JsonMappers;
import org.lavenderwick.adapters.platform.VersionedValue;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.PlannedStop;
import org.lavenderwick.core.drain.DrainState;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.Term;
import org.lavenderwick.daemon.Daemon;

import static org.assertj.core.api.Assertions.assertThat;

/** Steps of operators: configuration, planned changes and drains. */
public final class OperatorSteps {
    private static final String KEY = "configuration/current";
    private static final long SAMPLE_MILLIS = 10;

    private final World world;
    private final List<Integer> winners = new ArrayList<>();
    private final List<String> reversions = new CopyOnWriteArrayList<>();
    private final Map<Daemon, Long> versions = new ConcurrentHashMap<>();
    private EndpointName leaving;
    private FailureDomain cut;
    private Thread sampler;
    private int drainMark;
    private Duration leftAt;
    private Daemon drained;

    /** Creates the steps of one scenario. */
    public OperatorSteps(World world) {
        this.world = world;
    }

    private ScenarioCluster cluster() {
        return world.cluster();
    }

    /** Watches the versions in force at all daemons. */
    @Before(order = 20_000)
    public void startSampler() {
        sampler = new Thread(this::sample, "configuration-sampler");
        sampler.setDaemon(true);
        sampler.start();
    }

    /** Ends the watch. */
    @After(order = 20_000)
    public void stopSampler() throws InterruptedException {
        sampler.interrupt();
        sampler.join();
    }

    private void sample() {
        try {
            while (true) {
                ScenarioCluster watched = cluster();
                if (watched != null) {
                    watched.local().daemons().forEach(this::sample);
                }
                TimeUnit.MILLISECONDS.sleep(SAMPLE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sample(Daemon daemon) {
        long version = daemon.status().configurationVersion();
        Long before = versions.put(daemon, version);
        if (before != null && version < before) {
            reversions.add(daemon.address() + " went from " + before + " to " + version);
        }
    }

    private Configuration current() throws Exception {
        return JsonMappers.create().readValue(stored().value(), Configuration.class);
    }

    private VersionedValue stored() {
        return cluster().fleet().platform().read(KEY).orElseThrow();
    }

    private boolean change(VersionedValue read, List<PlannedStop> stops) throws Exception {
        Configuration before = JsonMappers.create().readValue(read.value(), Configuration.class);
        Configuration next = new Configuration(
                before.version() + 1, before.services(), before.groups(), stops, before.sessionKeys());
        String value = JsonMappers.create().writeValueAsString(next);
        return cluster()
                .fleet()
                .platform()
                .compareAndSwap(KEY, value, read.revision())
                .isPresent();
    }

    /** Writes a newer version with the same content. */
    @When("an operator changes the configuration")
    public void changeOnce() throws Exception {
        assertThat(change(stored(), current().plannedStops())).isTrue();
    }

    /** Lets operators read the same revision and then write at the same time. */
    @When("{int} operators race to change the configuration {int} times")
    public void race(int operators, int times) throws Exception {
        for (int i = 0; i < times; i++) {
            VersionedValue read = stored();
            List<CompletableFuture<Boolean>> attempts = new ArrayList<>();
            for (int operator = 0; operator < operators; operator++) {
                attempts.add(CompletableFuture.supplyAsync(() -> {
                    try {
                        return change(read, List.of());
                    } catch (Exception e) {
                        throw new IllegalStateException(e);
                    }
                }));
            }
            winners.add((int) attempts.stream().filter(CompletableFuture::join).count());
        }
    }

    /** Requires that each race had one winner. */
    @Then("one operator won each race")
    public void oneWinner() {
        assertThat(winners).isNotEmpty().containsOnly(1);
    }

    /** Waits for the newest version at all daemons. */
    @Then("the newest configuration is in force everywhere")
    public void inForce() throws Exception {
        long newest = current().version();
        assertThat(newest).isGreaterThan(1);
        cluster()
                .await(
                        "version " + newest + " everywhere",
                        () -> cluster().local().daemons().stream()
                                .allMatch(daemon -> daemon.status().configurationVersion() == newest));
    }

    /** Waits for the newest version outside the cut, and requires an older one inside. */
    @Then("the newest configuration is in force in the other failure domains only")
    public void inForceOutside() throws Exception {
        long newest = current().version();
        cluster()
                .await(
                        "version " + newest + " outside the cut",
                        () -> cluster().local().daemons().stream()
                                .filter(daemon ->
                                        !cluster().local().domain(daemon).equals(cut))
                                .allMatch(daemon -> daemon.status().configurationVersion() == newest));
        assertThat(inside()).isNotEmpty().allMatch(daemon -> daemon.status().configurationVersion() < newest);
    }

    /** Requires that no sample at a daemon was older than the one before. */
    @Then("no daemon went back to an older configuration")
    public void noReversion() {
        assertThat(versions).isNotEmpty();
        assertThat(reversions).isEmpty();
    }

    private List<Daemon> inside() {
        return cluster().local().daemons().stream()
                .filter(daemon -> cluster().local().domain(daemon).equals(cut))
                .toList();
    }

    /** Separates the failure domain of a replica from all others and from the platform. */
    @When("the failure domain of a replica is cut off")
    public void cutOffReplica() {
        cut = cluster().domain(cluster().replicas().get(0).name());
        cluster().local().cutOff(Set.of(cut));
    }

    /** Ends the partition, but leaves the platform out of reach of the failure domain. */
    @When("the failure domains are connected again except for the platform")
    public void reconnectPeers() {
        cluster().local().reconnect();
        cluster()
                .fleet()
                .platform()
                .faults(cluster()
                        .fleet()
                        .platform()
                        .faults()
                        .withSilentBlocks(Set.of(cluster().fleet().block(cut))));
    }

    /** Reads with an accepted age at the daemons inside the cut. */
    @Then("the daemons in the cut-off failure domain serve reads of bounded age")
    public void readsInside() throws InterruptedException {
        CallerClient client = new CallerClient();
        String read = "{\"rank\":\"urgent\",\"access\":\"read\",\"deadlineMs\":3000,\"maxStalenessMs\":3600000,"
                + "\"statements\":[{\"op\":\"get\",\"key\":\"none\"}]}";
        for (Daemon daemon : inside()) {
            String address = daemon.address() + ":" + daemon.callerPort();
            cluster()
                    .await(
                            "reads inside the cut",
                            () -> client.post(address, CallerClient.STATEMENTS, read)
                                    .done());
        }
    }

    /** Orders a change of primary and waits for its end. */
    @When("an operator moves the primary")
    public void movePrimary() throws Exception {
        Term before = cluster().primary().term();
        EndpointName target = cluster().replicas().get(0).name();
        cluster().planned(Term.of(before.number() + 1));
        Daemon lead = cluster().lead();
        HttpResponse<String> ordered = HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(
                                        URI.create("http://" + lead.address() + ":" + lead.operatorPort() + "/promote"))
                                .POST(HttpRequest.BodyPublishers.ofString(
                                        "{\"group\":\"ledger\",\"endpoint\":\"" + target + "\"}"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        assertThat(ordered.statusCode()).as(ordered.body()).isEqualTo(202);
        cluster()
                .await("primary " + target, () -> cluster().primary().endpoint().equals(target));
    }

    /** Plans a stop of the primary that begins at once. */
    @When("a stop of the primary is planned")
    public void planStop() throws Exception {
        leaving = cluster().primary().endpoint();
        cluster().planned(Term.of(cluster().primary().term().number() + 1));
        Instant now = Instant.now();
        assertThat(change(
                        stored(),
                        List.of(new PlannedStop(Caller.GROUP, leaving, now.minusSeconds(1), now.plusSeconds(3600)))))
                .isTrue();
    }

    /** Waits until all owners know of the stop and another endpoint is primary; later counts start here. */
    @When("every daemon takes the endpoint for leaving")
    public void knownLeaving() throws InterruptedException {
        cluster()
                .await(
                        "leaving endpoint at all owners",
                        () -> cluster().local().daemons().stream()
                                .flatMap(daemon -> daemon.status().groups().stream())
                                .flatMap(group -> group.endpoints().stream())
                                .filter(endpoint -> endpoint.name().equals(leaving))
                                .allMatch(endpoint -> endpoint.leaving()));
        cluster().await("another primary", () -> !cluster().primary().endpoint().equals(leaving));
        cluster()
                .await(
                        "another primary at all owners",
                        () -> cluster().local().daemons().stream()
                                .flatMap(daemon -> daemon.status().groups().stream())
                                .allMatch(group ->
                                        group.primary().filter(leaving::equals).isEmpty()));
        drainMark = cluster().records().size();
        leftAt = cluster().records().now();
    }

    /** Requires that no request sent after the stop was known ran at the endpoint. */
    @Then("the leaving endpoint got no new work")
    public void noNewWork() throws Exception {
        List<Records.Seen> after = cluster()
                .records()
                .select(
                        drainMark,
                        seen -> seen.acknowledged()
                                && seen.operation().invokedAt().compareTo(leftAt) > 0);
        assertThat(after).hasSizeGreaterThan(50);
        assertThat(after.stream().map(Records.Seen::endpoint).collect(Collectors.toSet()))
                .doesNotContain(leaving.value());
        // The stop ends, so that the next scenario begins with all endpoints.
        assertThat(change(stored(), List.of())).isTrue();
        inForce();
    }

    /** Drains the lead owner and removes it, as its host would be after the process has ended. */
    @When("the lead owner is drained")
    public void drainLead() throws Exception {
        Daemon lead = cluster().lead();
        DrainState state = lead.drain().get(60, TimeUnit.SECONDS);
        assertThat(state).isEqualTo(DrainState.DONE);
        drained = lead;
    }

    /** Requires that every request of this scenario had an outcome and no transaction was aborted. */
    @Then("no request was cut off")
    public void nothingCut() throws InterruptedException {
        cluster().callers().stop();
        if (drained != null) {
            cluster().local().kill(drained);
        }
        assertThat(cluster()
                        .records()
                        .select(
                                world.mark(),
                                seen -> Set.of("OUTCOME_UNKNOWN", "NO_ANSWER", "INTERNAL_ERROR", "STATEMENT_FAILED")
                                                .contains(seen.kind())
                                        || seen.kind().startsWith("TX_")
                                                && !seen.kind().equals("TX_DRAINING")))
                .isEmpty();
    }
}
