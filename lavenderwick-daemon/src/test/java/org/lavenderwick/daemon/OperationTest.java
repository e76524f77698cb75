package org.lavenderwick.daemon;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Instant;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderwick.adapters.json.JsonMappers;
import org.lavenderwick.adapters.platform.VersionedValue;
import org.lavenderwick.core.audit.AuditChunk;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.PlannedStop;
import org.lavenderwick.core.model.EndpointName;

import static org.assertj.core.api.Assertions.assertThat;

/** Exercises the operator port over real sockets. Each test has its own cluster. */
class OperationTest {
    private final HttpClient client = HttpClient.newHttpClient();
    private TestCluster cluster;

    @BeforeEach
    void start() throws Exception {
        cluster = TestCluster.start(3);
    }

    @AfterEach
    void stop() {
        cluster.close();
    }

    private HttpResponse<String> callOperatorPort(Daemon daemon, String method, String path, String body)
            throws Exception {
        return client.send(
                HttpRequest.newBuilder(URI.create("http://" + daemon.address() + ":" + daemon.operatorPort() + path))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private TestCluster.Response write(String key) {
        return cluster.post(cluster.daemons().get(0), TestCluster.STATEMENTS, TestCluster.putRequest(key, "v"));
    }

    private void changeConfiguration(List<PlannedStop> stops) throws Exception {
        VersionedValue value =
                cluster.fleet().platform().read("configuration/current").orElseThrow();
        Configuration current = JsonMappers.create().readValue(value.value(), Configuration.class);
        Configuration next = new Configuration(
                current.version() + 1, current.services(), current.groups(), stops, current.sessionKeys());
        assertThat(cluster.fleet()
                        .platform()
                        .compareAndSwap(
                                "configuration/current",
                                JsonMappers.create().writeValueAsString(next),
                                value.revision()))
                .isPresent();
    }

    @Test
    void statusAndMetricsShowTheOwnedGroup() throws Exception {
        assertThat(write("k").status()).isEqualTo(200);
        Daemon lead = cluster.leadOwner();
        JsonNode status = new ObjectMapper()
                .readTree(callOperatorPort(lead, "GET", "/status", "").body());
        JsonNode group = status.path("groups").path(0);
        assertThat(status.path("ready").asBoolean()).isTrue();
        assertThat(status.path("configurationVersion").asLong()).isEqualTo(1);
        assertThat(group.path("group").asText()).isEqualTo("ledger");
        assertThat(group.path("lead").asBoolean()).isTrue();
        assertThat(group.path("primary").asText()).isEqualTo("ledger-1");
        assertThat(group.path("endpoints")).hasSize(3);
        assertThat(callOperatorPort(cluster.daemons().get(0), "GET", "/metrics", "")
                        .body())
                .contains("lavenderwick_requests_seconds_count{outcome=\"DONE\",rank=\"urgent\"}")
                .contains("lavenderwick_configuration_version 1.0");
        assertThat(callOperatorPort(lead, "GET", "/metrics", "").body())
                .contains("lavenderwick_group_term{group=\"ledger\"} 1.0");
    }

    @Test
    void plannedPromotionLosesNoWrite() throws Exception {
        assertThat(write("before").status()).isEqualTo(200);
        HttpResponse<String> promotion = callOperatorPort(
                cluster.leadOwner(), "POST", "/promote", "{\"group\":\"ledger\",\"endpoint\":\"ledger-2\"}");
        assertThat(promotion.statusCode()).as(promotion.body()).isEqualTo(202);
        String endpoint = "";
        int writes = 0;
        while (!endpoint.equals("ledger-2")) {
            TestCluster.Response response = write("during-" + writes);
            assertThat(response.status()).as(response.toString()).isEqualTo(200);
            endpoint = response.body().path("endpoint").asText();
            writes++;
        }
        assertThat(cluster.group().value(EndpointName.of("ledger-2"), "before")).isPresent();
        cluster.await(
                "audit entry",
                () -> cluster.fleet().platform().read(AuditChunk.key(Instant.now(), 0)),
                chunk -> chunk.map(VersionedValue::value)
                        .filter(text -> text.contains("planned promotion ledger")
                                && text.contains("term 1 with ledger-1")
                                && text.contains("term 2 with ledger-2"))
                        .isPresent());
        for (int i = 0; i < writes; i++) {
            assertThat(cluster.group().value(EndpointName.of("ledger-2"), "during-" + i))
                    .isPresent();
        }
    }

    @Test
    void changedConfigurationReachesAllDaemonsAndPlannedStopMovesThePrimary() throws Exception {
        assertThat(write("before").status()).isEqualTo(200);
        Instant now = Instant.now();
        changeConfiguration(List.of(new PlannedStop(
                TestCluster.GROUP, EndpointName.of("ledger-1"), now.minusSeconds(1), now.plusSeconds(600))));
        for (Daemon daemon : cluster.daemons()) {
            cluster.await("version 2", daemon::status, status -> status.configurationVersion() == 2);
        }
        TestCluster.Response moved = cluster.await(
                "write at another primary",
                () -> write("after"),
                response -> !response.body().path("endpoint").asText().equals("ledger-1"));
        assertThat(moved.status()).as(moved.toString()).isEqualTo(200);
        for (int i = 0; i < 20; i++) {
            TestCluster.Response read = cluster.post(
                    cluster.daemons().get(i % 3),
                    TestCluster.STATEMENTS,
                    TestCluster.withSession(TestCluster.getRequest("after"), moved.session()));
            assertThat(read.body().path("endpoint").asText()).isNotEqualTo("ledger-1");
        }
    }

    @Test
    void promotionRequestForAnUnknownGroupOrEndpointIsRejected() throws Exception {
        assertThat(callOperatorPort(cluster.leadOwner(), "POST", "/promote", "{\"group\":\"none\"}")
                        .statusCode())
                .isEqualTo(404);
        assertThat(callOperatorPort(
                                cluster.leadOwner(), "POST", "/promote", "{\"group\":\"ledger\",\"endpoint\":\"none\"}")
                        .statusCode())
                .isEqualTo(400);
    }

    @Test
    void drainRequestEndsReadinessAndReleasesTheSeat() throws Exception {
        Daemon daemon = cluster.daemons().get(1);
        assertThat(callOperatorPort(daemon, "GET", "/ready", "").statusCode()).isEqualTo(200);
        assertThat(callOperatorPort(daemon, "POST", "/drain", "").statusCode()).isEqualTo(202);
        cluster.await(
                "end of readiness",
                () -> callOperatorPort(daemon, "GET", "/ready", "").statusCode(),
                status -> status == 503);
        cluster.await(
                "release of the seat",
                () -> cluster.daemons().get(0).status().seatTableVersion(),
                version -> version >= 4);
    }
}
