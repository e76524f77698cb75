package org.lavenderwick.daemon;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ShareRaiseTest {

    /** Guards against a new owner that uses its connection share while a former owner may still use the same share. */
    @Test
    void newOwnersOpenNoConnectionsBeforeTheShareIncreaseDelayEnds() throws Exception {
        DaemonOptions options = DaemonOptions.standard().withShareIncreaseDelay(Duration.ofHours(1));
        try (TestCluster cluster = TestCluster.start(3, options)) {
            cluster.leadOwner();

            TestCluster.Response response = cluster.post(
                    cluster.daemons().get(0), TestCluster.STATEMENTS, TestCluster.putRequest("key", "value"));

            assertThat(response.body().get("kind").asText()).isEqualTo("OWNER_UNREACHABLE");
            assertThat(response.body().get("ran").asText()).isEqualTo("no");
            assertThat(cluster.daemons().stream()
                            .flatMap(daemon -> daemon.status().groups().stream())
                            .flatMap(group -> group.endpoints().stream())
                            .mapToInt(endpoint -> endpoint.connections()))
                    .containsOnly(0);
        }
    }
}
