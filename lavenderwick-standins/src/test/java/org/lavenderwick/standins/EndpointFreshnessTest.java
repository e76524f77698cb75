package org.lavenderwick.standins;

import java.time.Duration;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderwick.adapters.endpoint.EndpointConnection;
import org.lavenderwick.adapters.endpoint.EndpointOutcome;
import org.lavenderwick.core.model.Term;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lavenderwick.standins.TestFleet.ADD;
import static org.lavenderwick.standins.TestFleet.FIRST;
import static org.lavenderwick.standins.TestFleet.GET;
import static org.lavenderwick.standins.TestFleet.PATIENCE;
import static org.lavenderwick.standins.TestFleet.SECOND;
import static org.lavenderwick.standins.TestFleet.SHORT;
import static org.lavenderwick.standins.TestFleet.THIRD;
import static org.lavenderwick.standins.TestFleet.await;
import static org.lavenderwick.standins.TestFleet.outcome;
import static org.lavenderwick.standins.TestFleet.results;
import static org.lavenderwick.standins.TestFleet.until;

/** Tests how old the data of an endpoint stand-in are, and what it says of them. */
class EndpointFreshnessTest {

    private TestFleet fleet;

    @BeforeEach
    void start() {
        fleet = new TestFleet(EndpointOptions.DEFAULT.withLockTimeout(SHORT));
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    /** Guards against a replica that serves a session or a bounded read from old data. */
    @Test
    void replicaBehindRefuses() throws Exception {
        fleet.endpoint(SECOND).replication(Replication.STOPPED);
        fleet.write(ADD).on(fleet.connect(FIRST));
        EndpointConnection replica = fleet.connect(SECOND);

        assertThat(outcome(fleet.read(GET).minimumPoint(1, 1).on(replica))).isEqualTo(EndpointOutcome.BEHIND);
        assertThat(outcome(fleet.read(GET).maxStaleness(Duration.ZERO).on(replica)))
                .isEqualTo(EndpointOutcome.BEHIND);
        assertThat(results(fleet.read(GET).on(replica))).isEqualTo("[{\"value\":null}]");
        assertThat(outcome(fleet.write(ADD).on(replica))).isEqualTo(EndpointOutcome.NOT_PRIMARY);

        fleet.endpoint(SECOND).replication(Replication.PROMPT);
        until(() -> fleet.value(SECOND, "a").isPresent());
        assertThat(results(fleet.read(GET)
                        .minimumPoint(1, 1)
                        .maxStaleness(PATIENCE)
                        .on(replica)))
                .isEqualTo("[{\"value\":1}]");
    }

    /** Guards against data that look fresh although no primary vouches for them. */
    @Test
    void ageGrowsWhenThePrimaryIsDeadOrSealedAway() throws Exception {
        var before = fleet.endpoint(SECOND).status().pointTime();
        until(() -> fleet.endpoint(SECOND).status().pointTime().isAfter(before));
        await(fleet.connect(SECOND).seal(Term.of(2), PATIENCE));
        fleet.endpoint(FIRST).kill();

        var sealed = fleet.endpoint(SECOND).status().pointTime();
        var orphan = fleet.endpoint(THIRD).status().pointTime();
        fleet.endpoint(FIRST).restart();
        until(() -> fleet.endpoint(THIRD).status().pointTime().isAfter(orphan));

        assertThat(fleet.endpoint(SECOND).status().pointTime()).isEqualTo(sealed);
    }
}
