package org.lavenderwick.scenarios;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import io.cucumber.java.en.Then;
import org.lavenderwick.standins.history.AppliedWrite;

import static org.assertj.core.api.Assertions.assertThat;

/** Steps that judge what callers and endpoints recorded. */
public final class HistorySteps {
    private final World world;

    /** Creates the steps of one scenario. */
    public HistorySteps(World world) {
        this.world = world;
    }

    /** Stops the callers and checks everything that was recorded since the cluster started. */
    @Then("the history keeps every guarantee")
    public void check() throws InterruptedException {
        ScenarioCluster cluster = world.cluster();
        cluster.callers().stop();
        Histories.assertKept(cluster.records(), world.mark(), cluster.writes(), cluster.openings());
    }

    /** Requires a failover since the cluster started. */
    @Then("the newest term is above {int}")
    public void termAbove(int term) {
        assertThat(world.cluster().primary().term().number()).isGreaterThan(term);
    }

    /** Requires outcomes of a kind in this scenario. */
    @Then("at least {int} requests ended as {word}")
    public void atLeast(int count, String kind) {
        Records records = world.cluster().records();
        assertThat(records.count(world.mark(), seen -> seen.kind().equals(kind)))
                .as("%s in %s", kind, records.kinds(world.mark()))
                .isGreaterThanOrEqualTo(count);
    }

    /** Requires that a write with an idempotency key was repeated after its answer was lost, and committed once. */
    @Then("a repeated write was acknowledged and committed once")
    public void repeated() {
        Records records = world.cluster().records();
        Map<String, List<Records.Seen>> attempts = records.select(world.mark(), seen -> seen.keyed()).stream()
                .collect(Collectors.groupingBy(seen -> seen.operation().value().orElseThrow()));
        Map<String, Long> commits = world.cluster().writes().stream()
                .collect(Collectors.groupingBy(AppliedWrite::value, Collectors.counting()));
        List<String> repeated = attempts.entrySet().stream()
                .filter(entry -> entry.getValue().size() > 1
                        && entry.getValue().get(entry.getValue().size() - 1).acknowledged())
                .map(Map.Entry::getKey)
                .toList();
        System.out.printf("repeated writes: %d%n", repeated.size());
        assertThat(repeated)
                .isNotEmpty()
                .allSatisfy(value -> assertThat(commits).containsEntry(value, 1L));
    }

    /** Requires reads at replicas in this scenario. */
    @Then("replicas served reads")
    public void replicaReads() {
        ScenarioCluster cluster = world.cluster();
        String primary = cluster.primary().endpoint().value();
        assertThat(cluster.records()
                        .count(
                                world.mark(),
                                seen -> seen.acknowledged()
                                        && !seen.operation().write()
                                        && !seen.endpoint().equals(primary)))
                .isPositive();
    }
}
