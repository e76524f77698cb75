package org.lavenderwick.scenarios;

import java.util.Set;

import io.cucumber.java.en.When;
import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.daemon.Daemon;
import org.lavenderwick.standins.AnswerFault;
import org.lavenderwick.standins.EndpointServer;
import org.lavenderwick.standins.PlatformFaults;
import org.lavenderwick.standins.Replication;

/** Steps that cause and end faults. */
public final class FaultSteps {
    private static final int BLOCKS = 3;
    private static final long SEED = 17;

    private final World world;
    private EndpointStatus before;

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

    /** Separates the failure domain of a replica from all others. */
    @When("the failure domain of a replica is cut off")
    public void cutOffReplica() {
        EndpointName replica = cluster().replicas().get(0).name();
        cluster().local().cutOff(Set.of(cluster().domain(replica)));
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
        cluster()
                .replicas()
                .forEach(replica -> replica.replication(Replication.delayed(java.time.Duration.ofMillis(millis))));
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
        cluster().local().kill(cluster().lead());
    }
}
