package org.lavenderwick.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.standins.AnswerFault;
import org.lavenderwick.standins.HistoryEvent;
import org.lavenderwick.standins.Replication;

import static org.assertj.core.api.Assertions.assertThat;

/** Sends requests over real sockets from clients through daemons to stand-in endpoints. */
class RequestPathTest {
    private static TestCluster cluster;

    @BeforeAll
    static void start() throws Exception {
        cluster = TestCluster.start(3);
    }

    @AfterEach
    void clearFaults() {
        cluster.fleet().endpoints().forEach(endpoint -> {
            endpoint.clearFaults();
            endpoint.replication(Replication.PROMPT);
        });
    }

    @AfterAll
    static void stop() {
        cluster.close();
    }

    private static TestCluster.Response write(Daemon daemon, String key, String value) {
        TestCluster.Response response =
                cluster.post(daemon, TestCluster.STATEMENTS, TestCluster.putRequest(key, value));
        assertThat(response.status()).as(response.toString()).isEqualTo(200);
        return response;
    }

    @Nested
    class RequestForwarding {
        @Test
        void everyDaemonServesWritesAndReadsOfTheGroup() {
            for (Daemon daemon : cluster.daemons()) {
                String key = "path-" + daemon.peerPort();
                write(daemon, key, "v");
                TestCluster.Response read = cluster.post(daemon, TestCluster.STATEMENTS, TestCluster.getRequest(key));
                assertThat(read.status()).as(read.toString()).isEqualTo(200);
                assertThat(read.result(0).path("value").asText()).isEqualTo("v");
            }
        }

        @Test
        void concurrentRequestsEachGetTheirOwnResponse() {
            List<CompletableFuture<TestCluster.Response>> responses = IntStream.range(0, 150)
                    .mapToObj(i -> cluster.postAsync(
                            cluster.daemons().get(i % 3),
                            TestCluster.STATEMENTS,
                            TestCluster.putRequest("many-" + i, "v" + i)))
                    .toList();
            responses.forEach(response -> assertThat(response.join().status())
                    .as(response.join().toString())
                    .isEqualTo(200));
            for (int i = 0; i < 150; i++) {
                TestCluster.Response read = cluster.post(
                        cluster.daemons().get((i + 1) % 3),
                        TestCluster.STATEMENTS,
                        TestCluster.getRequest("many-" + i));
                assertThat(read.result(0).path("value").asText()).isEqualTo("v" + i);
            }
        }
    }

    @Nested
    class SessionConsistency {
        @Test
        void sessionReadsItsOwnWriteThroughAnotherDaemonWhileReplicasLag() {
            cluster.fleet().endpoints().forEach(endpoint -> endpoint.replication(Replication.STOPPED));
            for (int i = 0; i < 10; i++) {
                TestCluster.Response written = write(cluster.daemons().get(i % 3), "own", "v" + i);
                TestCluster.Response read = cluster.post(
                        cluster.daemons().get((i + 1) % 3),
                        TestCluster.STATEMENTS,
                        TestCluster.withSession(TestCluster.getRequest("own"), written.session()));
                assertThat(read.status()).as(read.toString()).isEqualTo(200);
                assertThat(read.result(0).path("value").asText()).isEqualTo("v" + i);
                assertThat(read.body().path("primary").asBoolean())
                        .as("no replica has the write")
                        .isTrue();
            }
        }

        @Test
        void sessionReadIsServedByAReplicaThatHasItsWrites() throws Exception {
            TestCluster.Response written = write(cluster.daemons().get(0), "replica", "v");
            TestCluster.Response read = cluster.await(
                    "read at a replica",
                    () -> cluster.post(
                            cluster.daemons().get(1),
                            TestCluster.STATEMENTS,
                            TestCluster.withSession(TestCluster.getRequest("replica"), written.session())),
                    response -> !response.body().path("primary").asBoolean(true));
            assertThat(read.result(0).path("value").asText()).isEqualTo("v");
        }

        @Test
        void forgedSessionTokenIsRejected() {
            TestCluster.Response response = cluster.post(
                    cluster.daemons().get(0),
                    TestCluster.STATEMENTS,
                    TestCluster.withSession(TestCluster.getRequest("k"), "AAAA"));
            assertThat(response.status()).isEqualTo(400);
            assertThat(response.kind()).isEqualTo("INVALID_TOKEN");
        }
    }

    @Nested
    class InvalidRequest {
        @ParameterizedTest
        @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
                /v1/services/orders/groups/ledger/statements|{"rank":"urgent"|400|MALFORMED_REQUEST
                /v1/services/orders/groups/ledger/statements|{"rank":"none","access":"write","statements":[{"op":"put","key":"bad","value":1}]}|400|UNKNOWN_RANK
                /v1/services/orders/groups/none/statements|{"rank":"urgent","access":"write","statements":[{"op":"put","key":"bad","value":1}]}|404|UNKNOWN_GROUP
                /v1/services/none/groups/ledger/statements|{"rank":"urgent","access":"write","statements":[{"op":"put","key":"bad","value":1}]}|404|UNKNOWN_SERVICE
                /v1/services/orders/groups/ledger/statements|{"rank":"urgent","access":"write","deadlineMs":0,"statements":[{"op":"put","key":"bad","value":1}]}|400|MALFORMED_REQUEST
                /v1/services/orders/groups/ledger/statements|{"rank":"urgent","access":"write","more":1,"statements":[{"op":"put","key":"bad","value":1}]}|400|MALFORMED_REQUEST
                /v1/transactions/none/commit|{}|400|INVALID_TOKEN
                """)
        void invalidRequestIsRejectedWithoutReachingAnEndpoint(String path, String body, int status, String kind) {
            TestCluster.Response response = cluster.post(cluster.daemons().get(0), path, body);
            assertThat(response.status()).isEqualTo(status);
            assertThat(response.kind()).isEqualTo(kind);
            assertThat(response.body().path("ran").asText()).isEqualTo("no");
            assertThat(cluster.events(HistoryEvent.WriteApplied.class))
                    .noneMatch(event -> event.key().equals("bad"));
        }

        @Test
        void statementRejectedByTheDatabaseIsReportedAsFailed() {
            TestCluster.Response response = cluster.post(
                    cluster.daemons().get(0),
                    TestCluster.STATEMENTS,
                    "{\"rank\":\"urgent\",\"access\":\"write\",\"statements\":[{\"op\":\"explode\"}]}");
            assertThat(response.status()).as(response.toString()).isEqualTo(422);
            assertThat(response.kind()).isEqualTo("STATEMENT_FAILED");
        }
    }

    @Nested
    class InteractiveTransaction {
        private String begin(Daemon daemon) {
            TestCluster.Response begun = cluster.post(daemon, TestCluster.TRANSACTIONS, "{\"rank\":\"urgent\"}");
            assertThat(begun.status()).as(begun.toString()).isEqualTo(200);
            return "/v1/transactions/" + begun.body().path("transaction").asText();
        }

        private TestCluster.Response put(Daemon daemon, String handle, String key, String value) {
            return cluster.post(
                    daemon,
                    handle + "/statements",
                    "{\"statements\":[{\"op\":\"put\",\"key\":\"" + key + "\",\"value\":\"" + value + "\"}]}");
        }

        @Test
        void interleavedTransactionsAreIsolated() {
            Daemon first = cluster.daemons().get(0);
            Daemon second = cluster.daemons().get(1);
            String committedHandle = begin(first);
            String rolledBackHandle = begin(second);
            assertThat(put(first, committedHandle, "kept-1", "a").status()).isEqualTo(200);
            assertThat(put(second, rolledBackHandle, "dropped-1", "b").status()).isEqualTo(200);
            assertThat(put(second, committedHandle, "kept-2", "a").status()).isEqualTo(200);
            assertThat(put(first, rolledBackHandle, "dropped-2", "b").status()).isEqualTo(200);
            TestCluster.Response committed = cluster.post(second, committedHandle + "/commit", "");
            assertThat(committed.status()).as(committed.toString()).isEqualTo(200);
            assertThat(cluster.post(first, rolledBackHandle + "/rollback", "").status())
                    .isEqualTo(200);
            for (String key : List.of("kept-1", "kept-2")) {
                TestCluster.Response read = cluster.post(
                        first,
                        TestCluster.STATEMENTS,
                        TestCluster.withSession(TestCluster.getRequest(key), committed.session()));
                assertThat(read.result(0).path("value").asText()).isEqualTo("a");
            }
            assertThat(cluster.events(HistoryEvent.WriteApplied.class))
                    .noneMatch(event -> event.key().startsWith("dropped"));
        }

        @Test
        void statementInAnEndedTransactionIsRejected() {
            Daemon daemon = cluster.daemons().get(2);
            String handle = begin(daemon);
            assertThat(put(daemon, handle, "ended", "a").status()).isEqualTo(200);
            assertThat(cluster.post(daemon, handle + "/rollback", "").status()).isEqualTo(200);
            TestCluster.Response late = put(daemon, handle, "late", "a");
            assertThat(late.status()).as(late.toString()).isEqualTo(404);
            assertThat(late.kind()).isEqualTo("UNKNOWN_TRANSACTION");
        }
    }

    @Nested
    class LostEndpointResponse {
        private final EndpointName primary = EndpointName.of("ledger-1");

        private long countAppliedWrites(String key) {
            return cluster.events(HistoryEvent.WriteApplied.class).stream()
                    .filter(event -> event.endpoint().equals(primary))
                    .filter(event -> event.key().equals(key))
                    .count();
        }

        @Test
        void writeWithoutIdempotencyKeyRunsOnceWhenItsResponseIsLost() throws Exception {
            write(cluster.leadOwner(), "warm", "v");
            cluster.fleet().endpoint(primary).injectAnswerFault(AnswerFault.DISCONNECTED, 1);
            List<TestCluster.Response> responses = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                responses.add(cluster.post(
                        cluster.daemons().get(0), TestCluster.STATEMENTS, TestCluster.putRequest("lost-" + i, "v")));
            }
            assertThat(responses.stream().map(TestCluster.Response::status).collect(Collectors.toSet()))
                    .isSubsetOf(200, 504);
            for (int i = 0; i < 5; i++) {
                assertThat(countAppliedWrites("lost-" + i)).isEqualTo(1);
            }
        }

        @Test
        void writeWithIdempotencyKeySucceedsAndRunsOnceWhenItsResponseIsLost() throws Exception {
            write(cluster.leadOwner(), "warm", "v");
            cluster.fleet().endpoint(primary).injectAnswerFault(AnswerFault.DISCONNECTED, 1);
            for (int i = 0; i < 5; i++) {
                String body = TestCluster.putRequest("keyed-" + i, "v");
                TestCluster.Response response = cluster.post(
                        cluster.daemons().get(1),
                        TestCluster.STATEMENTS,
                        body.substring(0, body.length() - 1) + ",\"idempotencyKey\":\"key-" + i + "\"}");
                assertThat(response.status()).as(response.toString()).isEqualTo(200);
                assertThat(countAppliedWrites("keyed-" + i)).isEqualTo(1);
            }
        }
    }
}
