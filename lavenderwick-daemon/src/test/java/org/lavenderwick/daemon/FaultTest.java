package org.lavenderwick.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.drain.DrainState;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.standins.HistoryEvent;
import org.lavenderwick.standins.LinkRule;
import org.lavenderwick.standins.PlatformFaults;
import org.lavenderwick.standins.Replication;

import static org.assertj.core.api.Assertions.assertThat;

/** Injects faults of daemons, endpoints and the platform while clients send requests. Each test has its own cluster. */
class FaultTest {
    private TestCluster cluster;

    @BeforeEach
    void start() throws Exception {
        cluster = TestCluster.start(3);
    }

    @AfterEach
    void stop() {
        cluster.close();
    }

    private TestCluster.Response write(Daemon daemon, String key) {
        return cluster.post(daemon, TestCluster.STATEMENTS, TestCluster.putRequest(key, "v"));
    }

    @Test
    void nextOwnerServesAfterTheLeadOwnerStops() throws Exception {
        Daemon lead = cluster.leadOwner();
        List<Daemon> others = cluster.nonLeadDaemons();
        assertThat(write(others.get(0), "before").status()).isEqualTo(200);
        lead.close();
        TestCluster.Response after = cluster.await(
                "write through the next owner",
                () -> write(others.get(0), "after"),
                response -> response.status() == 200);
        TestCluster.Response read = cluster.post(
                others.get(1),
                TestCluster.STATEMENTS,
                TestCluster.withSession(TestCluster.getRequest("after"), after.session()));
        assertThat(read.result(0).path("value").asText()).isEqualTo("v");
    }

    @Test
    void drainCompletesInFlightRequestsAndWaitsForOpenTransactions() throws Exception {
        Daemon lead = cluster.leadOwner();
        Daemon entry = cluster.nonLeadDaemons().get(0);
        TestCluster.Response begun = cluster.post(entry, TestCluster.TRANSACTIONS, "{\"rank\":\"urgent\"}");
        String handle = "/v1/transactions/" + begun.body().path("transaction").asText();
        List<CompletableFuture<TestCluster.Response>> writes = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            writes.add(cluster.postAsync(entry, TestCluster.STATEMENTS, TestCluster.putRequest("drain-" + i, "v")));
        }
        CompletableFuture<DrainState> drained = lead.drain();
        assertThat(lead.ready()).isFalse();
        for (int i = 0; i < 60; i++) {
            writes.add(
                    cluster.postAsync(entry, TestCluster.STATEMENTS, TestCluster.putRequest("drain-late-" + i, "v")));
        }
        writes.forEach(response -> assertThat(response.join().status())
                .as(response.join().toString())
                .isEqualTo(200));
        assertThat(drained).as("the drain waits for the open transaction").isNotDone();
        TestCluster.Response step = cluster.post(
                entry,
                handle + "/statements",
                "{\"statements\":[{\"op\":\"put\",\"key\":\"drain-tx\",\"value\":\"v\"}]}");
        assertThat(step.status()).as(step.toString()).isEqualTo(200);
        assertThat(cluster.post(entry, handle + "/commit", "").status()).isEqualTo(200);
        assertThat(drained.get(30, TimeUnit.SECONDS)).isEqualTo(DrainState.DONE);
        assertThat(lead.status().seat()).isEmpty();
        assertThat(cluster.post(lead, TestCluster.STATEMENTS, TestCluster.getRequest("x"))
                        .kind())
                .isEqualTo("DRAINING");
    }

    @Test
    void writesContinueAtAPromotedEndpointAfterThePrimaryStops() throws Exception {
        Daemon entry = cluster.daemons().get(0);
        TestCluster.Response before = write(entry, "before");
        cluster.await(
                "replication", () -> cluster.group().value(EndpointName.of("ledger-2"), "before"), Optional::isPresent);
        cluster.fleet().endpoint(EndpointName.of("ledger-1")).kill();
        TestCluster.Response after = cluster.await(
                "write at a new primary", () -> write(entry, "after"), response -> response.status() == 200);
        assertThat(after.body().path("endpoint").asText()).isNotEqualTo("ledger-1");
        assertThat(cluster.events(HistoryEvent.TermChanged.class))
                .anyMatch(event -> event.primary() && event.term().number() == 2);
        TestCluster.Response read = cluster.post(
                cluster.daemons().get(1),
                TestCluster.STATEMENTS,
                TestCluster.withSession(TestCluster.getRequest("before"), before.session()));
        assertThat(read.result(0).path("value").asText()).as(read.toString()).isEqualTo("v");
    }

    @Test
    void writesContinueOnEndpointEvidenceWhileThePlatformIsDown() {
        assertThat(write(cluster.daemons().get(0), "up").status()).isEqualTo(200);
        cluster.fleet().platform().faults(PlatformFaults.NONE.withAvailability(PlatformFaults.Availability.REFUSES));
        for (int i = 0; i < 5; i++) {
            TestCluster.Response response = write(cluster.daemons().get(i % 3), "down-" + i);
            assertThat(response.status()).as(response.toString()).isEqualTo(200);
        }
    }

    @Test
    void requestsUseNewConnectionsAfterOpenConnectionsToTheLeadOwnerGoSilent() throws Exception {
        Daemon entry = cluster.nonLeadDaemons().get(0);
        Daemon lead = cluster.leadOwner();
        assertThat(write(entry, "warm").status()).isEqualTo(200);
        for (int block = 1; block <= 3; block++) {
            cluster.relayTo(lead).silenceOpenConnections(block);
        }
        TestCluster.Response read = cluster.post(entry, TestCluster.STATEMENTS, TestCluster.getRequest("warm"));
        assertThat(read.status()).as(read.toString()).isEqualTo(200);
        assertThat(read.result(0).path("value").asText()).isEqualTo("v");
        assertThat(write(entry, "after").status()).isEqualTo(200);
    }

    @Test
    void nextOwnerServesWhenTheLeadOwnerIsUnreachableFromOtherDaemons() throws Exception {
        Daemon entry = cluster.nonLeadDaemons().get(0);
        Daemon lead = cluster.leadOwner();
        assertThat(write(entry, "warm").status()).isEqualTo(200);
        for (int block = 1; block <= 3; block++) {
            cluster.relayTo(lead).rule(block, LinkRule.SILENT);
        }
        TestCluster.Response read = cluster.post(entry, TestCluster.STATEMENTS, TestCluster.getRequest("warm"));
        assertThat(read.status()).as(read.toString()).isEqualTo(200);
        cluster.await("write at the next owner", () -> write(entry, "after"), response -> response.status() == 200);
    }

    @Test
    void writesContinueWithoutLossWhenTheFailureDomainOfThePrimaryIsCutOff() throws Exception {
        Daemon outside = cluster.daemons().get(1);
        assertThat(write(outside, "before").status()).isEqualTo(200);
        cluster.await(
                "replication", () -> cluster.group().value(EndpointName.of("ledger-2"), "before"), Optional::isPresent);
        cluster.fleet().cutOff(Set.of(FailureDomain.of("domain-1")));
        List<String> acknowledged = new ArrayList<>();
        TestCluster.Response last = null;
        for (int i = 0; i < 40 && (last == null || !succeededAtNewPrimary(last)); i++) {
            String key = "cut-" + i;
            last = write(cluster.daemons().get(1 + i % 2), key);
            if (succeededAtNewPrimary(last)) {
                acknowledged.add(key);
            }
        }
        assertThat(last).isNotNull();
        assertThat(succeededAtNewPrimary(last)).as("a write at a new primary").isTrue();
        for (int i = 0; i < 10; i++) {
            TestCluster.Response response = write(cluster.daemons().get(1 + i % 2), "later-" + i);
            assertThat(response.status()).as(response.toString()).isEqualTo(200);
            acknowledged.add("later-" + i);
        }
        EndpointName primary = EndpointName.of(last.body().path("endpoint").asText());
        assertThat(acknowledged)
                .allSatisfy(
                        key -> assertThat(cluster.group().value(primary, key)).isPresent());
    }

    @Test
    void writesAreRejectedAsNotRunWithoutPlatformAndEndpointMajority() throws Exception {
        assertThat(write(cluster.daemons().get(0), "before").status()).isEqualTo(200);
        cluster.fleet().platform().faults(PlatformFaults.NONE.withAvailability(PlatformFaults.Availability.REFUSES));
        cluster.fleet().endpoint(EndpointName.of("ledger-2")).kill();
        cluster.fleet().endpoint(EndpointName.of("ledger-3")).kill();
        TestCluster.Response rejected = cluster.await(
                "rejection", () -> write(cluster.daemons().get(0), "first"), response -> response.status() == 503);
        assertThat(rejected.kind()).isEqualTo("TERM_UNCONFIRMED");
        for (int i = 0; i < 5; i++) {
            TestCluster.Response response = write(cluster.daemons().get(i % 3), "alone-" + i);
            assertThat(response.status()).as(response.toString()).isEqualTo(503);
            assertThat(response.body().path("ran").asText()).isEqualTo("no");
        }
        assertThat(cluster.events(HistoryEvent.WriteApplied.class))
                .noneMatch(event -> event.key().startsWith("alone"));
        cluster.fleet().endpoint(EndpointName.of("ledger-2")).restart();
        cluster.await(
                "write with a majority",
                () -> write(cluster.daemons().get(1), "again"),
                response -> response.status() == 200);
    }

    @Test
    void sessionIsInformedOfAWriteLostInAFailoverAndCanContinue() throws Exception {
        Daemon entry = cluster.daemons().get(0);
        assertThat(write(entry, "kept").status()).isEqualTo(200);
        cluster.await(
                "replication", () -> cluster.group().value(EndpointName.of("ledger-2"), "kept"), Optional::isPresent);
        cluster.fleet().endpoints().forEach(endpoint -> endpoint.replication(Replication.STOPPED));
        TestCluster.Response lost = write(entry, "lost");
        assertThat(lost.status()).isEqualTo(200);
        cluster.fleet().endpoint(EndpointName.of("ledger-1")).kill();
        cluster.fleet().endpoints().forEach(endpoint -> endpoint.replication(Replication.PROMPT));
        TestCluster.Response lossReport = cluster.await(
                "rejection",
                () -> cluster.post(
                        entry,
                        TestCluster.STATEMENTS,
                        TestCluster.withSession(TestCluster.getRequest("lost"), lost.session())),
                response -> response.kind().equals("SESSION_WRITE_LOST"));
        assertThat(lossReport.status()).isEqualTo(409);
        TestCluster.Response read = cluster.await(
                "read with the fresh token",
                () -> cluster.post(
                        entry,
                        TestCluster.STATEMENTS,
                        TestCluster.withSession(TestCluster.getRequest("kept"), lossReport.session())),
                response -> response.status() == 200);
        assertThat(read.result(0).path("value").asText()).isEqualTo("v");
    }

    @Test
    void openTransactionCompletesAfterItsGroupMovesToAnotherOwner() throws Exception {
        Daemon lead = cluster.leadOwner();
        Daemon entry = cluster.nonLeadDaemons().get(0);
        TestCluster.Response begun = cluster.post(entry, TestCluster.TRANSACTIONS, "{\"rank\":\"urgent\"}");
        String handle = "/v1/transactions/" + begun.body().path("transaction").asText();
        // Adds daemons until the daemon that runs the transaction no longer owns the group.
        for (int index = 3; !lead.status().groups().isEmpty(); index++) {
            cluster.addDaemon(index);
            long seats = index + 1;
            cluster.await("new seat", lead::status, status -> status.seatTableVersion() >= seats);
        }
        TestCluster.Response step = cluster.post(
                entry, handle + "/statements", "{\"statements\":[{\"op\":\"put\",\"key\":\"moved\",\"value\":\"v\"}]}");
        assertThat(step.status()).as(step.toString()).isEqualTo(200);
        TestCluster.Response committed = cluster.post(entry, handle + "/commit", "");
        assertThat(committed.status()).as(committed.toString()).isEqualTo(200);
        assertThat(cluster.group().value(EndpointName.of("ledger-1"), "moved")).isPresent();
    }

    private static boolean succeededAtNewPrimary(TestCluster.Response response) {
        return response.status() == 200
                && !response.body().path("endpoint").asText().equals("ledger-1");
    }
}
