package org.lavenderwick.scenarios;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;
import org.lavenderwick.standins.history.OperationResult;

/** Steps that start the cluster and the callers and wait for their progress. */
public final class LoadSteps {
    private static final int DEADLINE_MILLIS = 3_000;

    private final World world;

    /** Creates the steps of one scenario. */
    public LoadSteps(World world) {
        this.world = world;
    }

    /** Starts a cluster. */
    @Given("a cluster of {int} daemons")
    public void cluster(int daemons) throws Exception {
        world.use(daemons);
    }

    /** Starts callers with sessions that move from daemon to daemon. */
    @Given("{int} callers that read and write")
    public void callers(int count) {
        world.cluster().callers().start(count, "urgent", DEADLINE_MILLIS);
    }

    /** Starts callers without pauses. */
    @When("a flood of {int} callers of rank {word} with deadlines of {int} ms begins")
    public void flood(int count, String rank, int deadlineMillis) {
        world.cluster().callers().flood(count, rank, deadlineMillis);
    }

    /** Waits for acknowledged writes after this step. */
    @When("{int} more writes are acknowledged")
    public void moreWrites(int count) throws InterruptedException {
        more(count, "acknowledged writes", true);
    }

    /** Waits for answered reads after this step. */
    @When("{int} more reads are answered")
    public void moreReads(int count) throws InterruptedException {
        more(count, "answered reads", false);
    }

    private void more(int count, String what, boolean write) throws InterruptedException {
        Records records = world.cluster().records();
        int from = records.size();
        world.cluster()
                .await(
                        count + " " + what,
                        () -> records.count(
                                        from,
                                        seen -> seen.acknowledged()
                                                && seen.operation().write() == write)
                                >= count);
    }

    /** Waits for an outcome of a kind since the mark of the scenario. */
    @When("{int} requests have ended as {word}")
    public void outcomes(int count, String kind) throws InterruptedException {
        Records records = world.cluster().records();
        world.cluster()
                .await(
                        count + " outcomes " + kind,
                        () -> records.count(world.mark(), seen -> seen.kind().equals(kind)) >= count);
    }

    /** Lets the callers finish. */
    @When("the callers stop")
    public void stop() throws InterruptedException {
        world.cluster().callers().stop();
    }

    /** Waits for refusals since the mark of the scenario. */
    @When("{int} requests have been refused as not run")
    public void refused(int count) throws InterruptedException {
        Records records = world.cluster().records();
        world.cluster()
                .await(
                        count + " refusals",
                        () -> records.count(
                                        world.mark(), seen -> seen.operation().result() == OperationResult.NOT_RUN)
                                >= count);
    }
}
