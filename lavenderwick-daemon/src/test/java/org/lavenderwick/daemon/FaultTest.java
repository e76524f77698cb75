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

/** Tests faults of daemons, endpoints and the platform under load. Each test has its own cluster. */
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

    private TestCluster.Answer write(Daemon daemon, String key) {
        return cluster.post(daemon, TestCluster.STATEMENTS, TestCluster.put(key, "v"));
    }

    @Test
    void whenTheLeadOwnerStopsTheNextOneServes() throws Exception {
        Daemon lead = cluster.lead();
        List<Daemon> others = cluster.others();
        assertThat(write(others.get(0), "before").status()).isEqualTo(200);
        lead.close();
        TestCluster.Answer after = cluster.await(
                "write through the next owner", () -> write(others.get(0), "after"), answer -> answer.status() == 200);
        TestCluster.Answer read = cluster.post(
                others.get(1),
                TestCluster.STATEMENTS,
                TestCluster.inSession(TestCluster.get("after"), after.session()));
        assertThat(read.result(0).path("value").asText()).isEqualTo("v");
    }

    @Test
    void aDrainEndsWorkInFlightAndLeavesOpenTransactionsTheirTime() throws Exception {
        Daemon lead = cluster.lead();
        Daemon entry = cluster.others().get(0);
        TestCluster.Answer begun = cluster.post(entry, TestCluster.TRANSACTIONS, "{\"rank\":\"urgent\"}");
        String handle = "/v1/transactions/" + begun.body().path("transaction").asText();
        List<CompletableFuture<TestCluster.Answer>> writes = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            writes.add(cluster.postAsync(entry, TestCluster.STATEMENTS, TestCluster.put("drain-" + i, "v")));
        }
        CompletableFuture<DrainState> drained = lead.drain();
        assertThat(lead.ready()).isFalse();
        for (int i = 0; i < 60; i++) {
            writes.add(cluster.postAsync(entry, TestCluster.STATEMENTS, TestCluster.put("drain-late-" + i, "v")));
        }
        writes.forEach(answer ->
                assertThat(answer.join().status()).as(answer.join().toString()).isEqualTo(200));
        assertThat(drained).as("the open transaction holds the drain").isNotDone();
        TestCluster.Answer step = cluster.post(
                entry,
                handle + "/statements",
                "{\"statements\":[{\"op\":\"put\",\"key\":\"drain-tx\",\"value\":\"v\"}]}");
        assertThat(step.status()).as(step.toString()).isEqualTo(200);
        assertThat(cluster.post(entry, handle + "/commit", "").status()).isEqualTo(200);
        assertThat(drained.get(30, TimeUnit.SECONDS)).isEqualTo(DrainState.DONE);
        assertThat(lead.status().seat()).isEmpty();
        assertThat(cluster.post(lead, TestCluster.STATEMENTS, TestCluster.get("x"))
                        .kind())
                .isEqualTo("DRAINING");
    }

    @Test
    void whenThePrimaryStopsAnotherEndpointIsPromotedAndWritesGoOn() throws Exception {
        Daemon entry = cluster.daemons().get(0);
        TestCluster.Answer before = write(entry, "before");
        cluster.await(
                "replication", () -> cluster.group().value(EndpointName.of("ledger-2"), "before"), Optional::isPresent);
        cluster.fleet().endpoint(EndpointName.of("ledger-1")).kill();
        TestCluster.Answer after =
                cluster.await("write at a new primary", () -> write(entry, "after"), answer -> answer.status() == 200);
        assertThat(after.body().path("endpoint").asText()).isNotEqualTo("ledger-1");
        assertThat(cluster.events(HistoryEvent.TermChanged.class))
                .anyMatch(event -> event.primary() && event.term().number() == 2);
        TestCluster.Answer read = cluster.post(
                cluster.daemons().get(1),
                TestCluster.STATEMENTS,
                TestCluster.inSession(TestCluster.get("before"), before.session()));
        assertThat(read.result(0).path("value").asText()).as(read.toString()).isEqualTo("v");
    }

    @Test
    void whenThePlatformIsDownWritesGoOnByTheEvidenceOfTheEndpoints() {
        assertThat(write(cluster.daemons().get(0), "up").status()).isEqualTo(200);
        cluster.fleet().platform().faults(PlatformFaults.NONE.withAvailability(PlatformFaults.Availability.REFUSES));
        for (int i = 0; i < 5; i++) {
            TestCluster.Answer answer = write(cluster.daemons().get(i % 3), "down-" + i);
            assertThat(answer.status()).as(answer.toString()).isEqualTo(200);
        }
    }

    @Test
    void whenOpenConnectionsToTheLeadGoSilentNewOnesServe() throws Exception {
        Daemon entry = cluster.others().get(0);
        Daemon lead = cluster.lead();
        assertThat(write(entry, "warm").status()).isEqualTo(200);
        for (int block = 1; block <= 3; block++) {
            cluster.relay(lead).silenceOpenConnections(block);
        }
        TestCluster.Answer read = cluster.post(entry, TestCluster.STATEMENTS, TestCluster.get("warm"));
        assertThat(read.status()).as(read.toString()).isEqualTo(200);
        assertThat(read.result(0).path("value").asText()).isEqualTo("v");
        assertThat(write(entry, "after").status()).isEqualTo(200);
    }

    @Test
    void whenTheLeadIsCutOffFromOtherDaemonsTheNextOwnerServes() throws Exception {
        Daemon entry = cluster.others().get(0);
        Daemon lead = cluster.lead();
        assertThat(write(entry, "warm").status()).isEqualTo(200);
        for (int block = 1; block <= 3; block++) {
            cluster.relay(lead).rule(block, LinkRule.SILENT);
        }
        TestCluster.Answer read = cluster.post(entry, TestCluster.STATEMENTS, TestCluster.get("warm"));
        assertThat(read.status()).as(read.toString()).isEqualTo(200);
        cluster.await("write at the next owner", () -> write(entry, "after"), answer -> answer.status() == 200);
    }

    @Test
    void whenTheFailureDomainOfThePrimaryIsCutOffTheOthersGoOnAndNoWriteIsLost() throws Exception {
        Daemon outside = cluster.daemons().get(1);
        assertThat(write(outside, "before").status()).isEqualTo(200);
        cluster.await(
                "replication", () -> cluster.group().value(EndpointName.of("ledger-2"), "before"), Optional::isPresent);
        cluster.fleet().cutOff(Set.of(FailureDomain.of("domain-1")));
        List<String> acknowledged = new ArrayList<>();
        TestCluster.Answer last = null;
        for (int i = 0; i < 40 && (last == null || !newTerm(last)); i++) {
            String key = "cut-" + i;
            last = write(cluster.daemons().get(1 + i % 2), key);
            if (newTerm(last)) {
                acknowledged.add(key);
            }
        }
        assertThat(last).isNotNull();
        assertThat(newTerm(last)).as("a write at a new primary").isTrue();
        for (int i = 0; i < 10; i++) {
            TestCluster.Answer answer = write(cluster.daemons().get(1 + i % 2), "later-" + i);
            assertThat(answer.status()).as(answer.toString()).isEqualTo(200);
            acknowledged.add("later-" + i);
        }
        EndpointName primary = EndpointName.of(last.body().path("endpoint").asText());
        assertThat(acknowledged)
                .allSatisfy(
                        key -> assertThat(cluster.group().value(primary, key)).isPresent());
    }

    @Test
    void withoutPlatformAndMajorityWritesAreRefusedAsNotRun() throws Exception {
        assertThat(write(cluster.daemons().get(0), "before").status()).isEqualTo(200);
        cluster.fleet().platform().faults(PlatformFaults.NONE.withAvailability(PlatformFaults.Availability.REFUSES));
        cluster.fleet().endpoint(EndpointName.of("ledger-2")).kill();
        cluster.fleet().endpoint(EndpointName.of("ledger-3")).kill();
        TestCluster.Answer refused = cluster.await(
                "refusal", () -> write(cluster.daemons().get(0), "first"), answer -> answer.status() == 503);
        assertThat(refused.kind()).isEqualTo("TERM_UNCONFIRMED");
        for (int i = 0; i < 5; i++) {
            TestCluster.Answer answer = write(cluster.daemons().get(i % 3), "alone-" + i);
            assertThat(answer.status()).as(answer.toString()).isEqualTo(503);
            assertThat(answer.body().path("ran").asText()).isEqualTo("no");
        }
        assertThat(cluster.events(HistoryEvent.WriteApplied.class))
                .noneMatch(event -> event.key().startsWith("alone"));
        cluster.fleet().endpoint(EndpointName.of("ledger-2")).restart();
        cluster.await(
                "write with a majority",
                () -> write(cluster.daemons().get(1), "again"),
                answer -> answer.status() == 200);
    }

    @Test
    void aSessionWhoseWriteAFailoverDroppedIsToldAndGoesOn() throws Exception {
        Daemon entry = cluster.daemons().get(0);
        assertThat(write(entry, "kept").status()).isEqualTo(200);
        cluster.await(
                "replication", () -> cluster.group().value(EndpointName.of("ledger-2"), "kept"), Optional::isPresent);
        cluster.fleet().endpoints().forEach(endpoint -> endpoint.replication(Replication.STOPPED));
        TestCluster.Answer lost = write(entry, "lost");
        assertThat(lost.status()).isEqualTo(200);
        cluster.fleet().endpoint(EndpointName.of("ledger-1")).kill();
        cluster.fleet().endpoints().forEach(endpoint -> endpoint.replication(Replication.PROMPT));
        TestCluster.Answer told = cluster.await(
                "refusal",
                () -> cluster.post(
                        entry, TestCluster.STATEMENTS, TestCluster.inSession(TestCluster.get("lost"), lost.session())),
                answer -> answer.kind().equals("SESSION_WRITE_LOST"));
        assertThat(told.status()).isEqualTo(409);
        TestCluster.Answer goesOn = cluster.await(
                "read with the fresh token",
                () -> cluster.post(
                        entry, TestCluster.STATEMENTS, TestCluster.inSession(TestCluster.get("kept"), told.session())),
                answer -> answer.status() == 200);
        assertThat(goesOn.result(0).path("value").asText()).isEqualTo("v");
    }

    @Test
    void aTransactionOutlivesTheMoveOfItsGroupToAnotherOwner() throws Exception {
        Daemon lead = cluster.lead();
        Daemon entry = cluster.others().get(0);
        TestCluster.Answer begun = cluster.post(entry, TestCluster.TRANSACTIONS, "{\"rank\":\"urgent\"}");
        String handle = "/v1/transactions/" + begun.body().path("transaction").asText();
        // Add daemons until one of them replaces the owner that runs the transaction.
        for (int index = 3; !lead.status().groups().isEmpty(); index++) {
            cluster.addDaemon(index);
            long seats = index + 1;
            cluster.await("new seat", lead::status, status -> status.seatTableVersion() >= seats);
        }
        TestCluster.Answer step = cluster.post(
                entry, handle + "/statements", "{\"statements\":[{\"op\":\"put\",\"key\":\"moved\",\"value\":\"v\"}]}");
        assertThat(step.status()).as(step.toString()).isEqualTo(200);
        TestCluster.Answer committed = cluster.post(entry, handle + "/commit", "");
        assertThat(committed.status()).as(committed.toString()).isEqualTo(200);
        assertThat(cluster.group().value(EndpointName.of("ledger-1"), "moved")).isPresent();
    }

    private static boolean newTerm(TestCluster.Answer answer) {
        return answer.status() == 200
                && !answer.body().path("endpoint").asText().equals("ledger-1");
    }
}
