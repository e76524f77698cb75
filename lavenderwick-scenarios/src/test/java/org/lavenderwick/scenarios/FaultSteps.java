package org.lavenderwick.scenarios;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.daemon.Daemon;
import org.lavenderwick.standins.AnswerFault;
import org.lavenderwick.standins.EndpointServer;
import org.lavenderwick.standins.PlatformFaults;
import org.lavenderwick.standins.Replication;
import org.lavenderwick.standins.history.AppliedWrite;

import static org.assertj.core.api.Assertions.assertThat;

/** Steps that cause and end faults. */
public final class FaultSteps {
    private static final int BLOCKS = 3;
    private static final long SEED = 17;

    private static final int DEADLINE_MILLIS = 3_000;
    private static final int SHORT_DEADLINE_MILLIS = 700;

    private final List<String> abandoned = new ArrayList<>();
    private final World world;
    private EndpointStatus before;
    private long faultsBefore;

    /** Creates the steps of one scenario. */
    public FaultSteps(World world) {
        this.world = world;
    }

    private ScenarioCluster cluster() {
        return world.cluster();
    }

    private void platform(PlatformFaults faults) {
        cluster().fleet().platform().faults(faults);
    }

    /** Separates the failure domain of the primary from all others. */
    @When("the failure domain of the primary is cut off")
    public void cutOffPrimary() {
        before = cluster().primary();
        cluster().local().cutOff(Set.of(cluster().domain(before.endpoint())));
    }

    /** Ends the partition. */
    @When("the failure domains are connected again")
    public void reconnect() {
        cluster().local().reconnect();
    }

    /** Ends the primary; its connections close. */
    @When("the primary dies")
    public void killPrimary() {
        before = cluster().primary();
        world.died(before.endpoint());
        cluster().fleet().endpoint(before.endpoint()).kill();
    }

    /** Stops the work of the primary; its connections stay open. */
    @When("the primary pauses")
    public void pausePrimary() {
        before = cluster().primary();
        cluster().fleet().endpoint(before.endpoint()).pause();
    }

    /** Lets the old primary go on. */
    @When("the old primary goes on")
    public void resumePrimary() {
        cluster().fleet().endpoint(before.endpoint()).resume();
    }

    /** Waits for a primary of a later term than the one at the time of the fault. */
    @When("another endpoint has become primary")
    public void newPrimary() throws InterruptedException {
        cluster()
                .await(
                        "primary after " + before,
                        () -> cluster().primary().term().isAfter(before.term()));
    }

    /** Stops replication at all replicas. */
    @When("the replicas stop following")
    public void stopReplicas() {
        cluster().replicas().forEach(replica -> replica.replication(Replication.STOPPED));
    }

    /** Lets replicas follow late. */
    @When("the replicas are {int} ms behind")
    public void delayReplicas(int millis) {
        cluster().replicas().forEach(replica -> replica.replication(Replication.delayed(Duration.ofMillis(millis))));
    }

    /** Refuses all platform calls. */
    @When("the platform is down")
    public void platformDown() {
        platform(PlatformFaults.NONE.withAvailability(PlatformFaults.Availability.REFUSES));
    }

    /** Takes platform calls without an answer. */
    @When("the platform hangs")
    public void platformHangs() {
        platform(PlatformFaults.NONE.withAvailability(PlatformFaults.Availability.HANGS));
    }

    /** Ends the faults of the platform. */
    @When("the platform is up again")
    public void platformUp() {
        platform(PlatformFaults.NONE);
    }

    /** Slows each call of the platform. */
    @When("each call of the platform takes {int} ms")
    public void platformSlow(int millis) {
        platform(cluster().fleet().platform().faults().withDelayMs(millis));
    }

    /** Loses answers of the platform after the request took effect. */
    @When("{int} percent of the platform's answers are lost")
    public void platformLosesAnswers(int percent) {
        platform(cluster().fleet().platform().faults().withLostAnswers(percent / 100.0, SEED));
    }

    /** Makes answers of the primary go wrong. */
    @When("{int} percent of the answers of the endpoints are {word}")
    public void endpointAnswers(int percent, String fault) {
        faultsBefore = answerFaults();
        cluster()
                .fleet()
                .endpoints()
                .forEach(endpoint -> endpoint.answerFaultChance(AnswerFault.valueOf(fault), percent / 100.0, SEED));
    }

    /** Makes the connections that are open now silent for good. */
    @When("all open connections to the endpoints go silent")
    public void silenceEndpoints() {
        cluster().fleet().endpoints().forEach(EndpointServer::silenceOpenConnections);
    }

    /** Makes the connections between daemons that are open now silent for good. */
    @When("all open connections between daemons go silent")
    public void silencePeers() {
        for (Daemon daemon : cluster().local().daemons()) {
            for (int block = 1; block <= BLOCKS; block++) {
                cluster().local().relay(daemon).silenceOpenConnections(block);
            }
        }
    }

    /** Ends the lead owner at once. */
    @When("the lead owner dies")
    public void killLead() throws InterruptedException {
        world.daemonDied();
        cluster().local().kill(cluster().lead());
    }

    /** Slows the answers of all endpoints, which bounds what their connections carry. */
    @When("the endpoints answer after {int} ms")
    public void slowEndpoints(int millis) {
        cluster().fleet().endpoints().forEach(endpoint -> endpoint.answerDelay(Duration.ofMillis(millis)));
    }

    /** Begins transactions that nobody ends. */
    @When("{int} callers leave their transactions open")
    public void abandonTransactions(int count) {
        for (int i = 0; i < count; i++) {
            abandoned.add(cluster().callers().create("normal", DEADLINE_MILLIS).abandonTransaction());
        }
        assertThat(cluster().primary().openTransactions()).isGreaterThanOrEqualTo(count);
    }

    /** Waits for the end of all transactions at the endpoints; those that nobody committed must not be there. */
    @Then("the open transactions are rolled back")
    public void rolledBack() throws InterruptedException {
        cluster().callers().stop();
        cluster()
                .await(
                        "end of all transactions",
                        () -> cluster().fleet().endpoints().stream()
                                .allMatch(endpoint -> endpoint.status().openTransactions() == 0));
        assertThat(abandoned).isNotEmpty();
        assertThat(cluster().writes().stream().map(AppliedWrite::value)).doesNotContainAnyElementsOf(abandoned);
    }

    /** Loses all answers to a write until its caller's deadline has passed; then the caller repeats it. */
    @When("the answers to {int} writes with idempotency keys are lost after their effect")
    public void loseAnswers(int count) throws InterruptedException {
        for (int i = 0; i < count; i++) {
            Caller caller = cluster().callers().create("urgent", SHORT_DEADLINE_MILLIS);
            // A write that is refused as not run loses no answer; then the caller writes again.
            cluster().await("lost answer", () -> losesAnswer(caller));
            caller.read();
        }
    }

    private boolean losesAnswer(Caller caller) {
        Records records = cluster().records();
        EndpointServer primary = cluster().primaryServer();
        int from = records.size();
        BooleanSupplier lost = () -> records.count(from, seen -> seen.kind().equals("OUTCOME_UNKNOWN")) > 0;
        primary.answerFaultChance(AnswerFault.LOST, 1, SEED);
        CompletableFuture<Void> write = CompletableFuture.runAsync(() -> caller.write(true));
        while (!write.isDone() && !lost.getAsBoolean()) {
            Thread.onSpinWait();
        }
        primary.answerFaultChance(AnswerFault.LOST, 0, SEED);
        write.join();
        return lost.getAsBoolean();
    }

    private long answerFaults() {
        return cluster().fleet().endpoints().stream()
                .mapToLong(EndpointServer::answerFaults)
                .sum();
    }

    /** Requires that answers of the endpoints went wrong since they were told so. */
    @Then("faults of answers occurred")
    public void answerFaultsOccurred() throws InterruptedException {
        cluster().callers().stop();
        long faults = answerFaults() - faultsBefore;
        System.out.printf("faults of answers: %d%n", faults);
        assertThat(faults).isPositive();
    }
}
