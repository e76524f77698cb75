package org.lavenderwick.daemon;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RequestPathTest {
    private static TestCluster cluster;

    @BeforeAll
    static void start() throws Exception {
        cluster = TestCluster.start(3);
    }

    @AfterAll
    static void stop() {
        cluster.close();
    }

    @Test
    void aRequestAtANonOwnerReachesTheEndpointAndComesBack() {
        for (Daemon daemon : cluster.daemons()) {
            String key = "path-" + daemon.peerPort();
            TestCluster.Answer written = cluster.post(daemon, TestCluster.STATEMENTS, TestCluster.put(key, "v"));
            assertThat(written.status()).as(written.toString()).isEqualTo(200);
            assertThat(written.body().path("primary").asBoolean()).isTrue();
            TestCluster.Answer read = cluster.post(daemon, TestCluster.STATEMENTS, TestCluster.get(key));
            assertThat(read.status()).as(read.toString()).isEqualTo(200);
            assertThat(read.result(0).path("value").asText())
                    .as(read.toString())
                    .isEqualTo("v");
        }
    }
}
