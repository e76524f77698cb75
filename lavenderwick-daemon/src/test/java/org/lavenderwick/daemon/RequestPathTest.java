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

/** Tests requests from callers through daemons to stand-in endpoints, over real sockets. */
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

    private static TestCluster.Answer write(Daemon daemon, String key, String value) {
        TestCluster.Answer answer = cluster.post(daemon, TestCluster.STATEMENTS, TestCluster.put(key, value));
        assertThat(answer.status()).as(answer.toString()).isEqualTo(200);
        return answer;
    }

    @Nested
    class Relay {
        @Test
        void aRequestAtANonOwnerReachesTheEndpointAndComesBack() {
            for (Daemon daemon : cluster.daemons()) {
                String key = "path-" + daemon.peerPort();
                write(daemon, key, "v");
                TestCluster.Answer read = cluster.post(daemon, TestCluster.STATEMENTS, TestCluster.get(key));
                assertThat(read.status()).as(read.toString()).isEqualTo(200);
                assertThat(read.result(0).path("value").asText()).isEqualTo("v");
            }
        }

        @Test
        void manyRequestsAtOnceEachGetTheirOwnAnswer() {
            List<CompletableFuture<TestCluster.Answer>> answers = IntStream.range(0, 150)
                    .mapToObj(i -> cluster.postAsync(
                            cluster.daemons().get(i % 3),
                            TestCluster.STATEMENTS,
                            TestCluster.put("many-" + i, "v" + i)))
                    .toList();
            answers.forEach(answer -> assertThat(answer.join().status())
                    .as(answer.join().toString())
                    .isEqualTo(200));
            for (int i = 0; i < 150; i++) {
                TestCluster.Answer read = cluster.post(
                        cluster.daemons().get((i + 1) % 3), TestCluster.STATEMENTS, TestCluster.get("many-" + i));
                assertThat(read.result(0).path("value").asText()).isEqualTo("v" + i);
            }
        }
    }

    @Nested
    class Session {
        @Test
        void readsItsOwnWriteAtAnotherDaemonWhileTheReplicasAreBehind() {
            cluster.fleet().endpoints().forEach(endpoint -> endpoint.replication(Replication.STOPPED));
            for (int i = 0; i < 10; i++) {
                TestCluster.Answer written = write(cluster.daemons().get(i % 3), "own", "v" + i);
                TestCluster.Answer read = cluster.post(
                        cluster.daemons().get((i + 1) % 3),
                        TestCluster.STATEMENTS,
                        TestCluster.inSession(TestCluster.get("own"), written.session()));
                assertThat(read.status()).as(read.toString()).isEqualTo(200);
                assertThat(read.result(0).path("value").asText()).isEqualTo("v" + i);
                assertThat(read.body().path("primary").asBoolean())
                        .as("no replica has the write")
                        .isTrue();
            }
        }

        @Test
        void readsAtAReplicaThatHasItsWrites() throws Exception {
            TestCluster.Answer written = write(cluster.daemons().get(0), "replica", "v");
            TestCluster.Answer read = cluster.await(
                    "read at a replica",
                    () -> cluster.post(
                            cluster.daemons().get(1),
                            TestCluster.STATEMENTS,
                            TestCluster.inSession(TestCluster.get("replica"), written.session())),
                    answer -> !answer.body().path("primary").asBoolean(true));
            assertThat(read.result(0).path("value").asText()).isEqualTo("v");
        }

        @Test
        void aForgedTokenIsRefused() {
            TestCluster.Answer answer = cluster.post(
                    cluster.daemons().get(0),
                    TestCluster.STATEMENTS,
                    TestCluster.inSession(TestCluster.get("k"), "AAAA"));
            assertThat(answer.status()).isEqualTo(400);
            assertThat(answer.kind()).isEqualTo("INVALID_TOKEN");
        }
    }

    @Nested
    class BadInput {
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
        void neverReachesAnEndpoint(String path, String body, int status, String kind) {
            TestCluster.Answer answer = cluster.post(cluster.daemons().get(0), path, body);
            assertThat(answer.status()).isEqualTo(status);
            assertThat(answer.kind()).isEqualTo(kind);
            assertThat(answer.body().path("ran").asText()).isEqualTo("no");
            assertThat(cluster.events(HistoryEvent.WriteApplied.class))
                    .noneMatch(event -> event.key().equals("bad"));
        }

        @Test
        void aStatementThatTheDatabaseRejectsIsReportedAsSuch() {
            TestCluster.Answer answer = cluster.post(
                    cluster.daemons().get(0),
                    TestCluster.STATEMENTS,
                    "{\"rank\":\"urgent\",\"access\":\"write\",\"statements\":[{\"op\":\"explode\"}]}");
            assertThat(answer.status()).as(answer.toString()).isEqualTo(422);
            assertThat(answer.kind()).isEqualTo("STATEMENT_FAILED");
        }
    }

    @Nested
    class Transaction {
        private String begin(Daemon daemon) {
            TestCluster.Answer begun = cluster.post(daemon, TestCluster.TRANSACTIONS, "{\"rank\":\"urgent\"}");
            assertThat(begun.status()).as(begun.toString()).isEqualTo(200);
            return "/v1/transactions/" + begun.body().path("transaction").asText();
        }

        private TestCluster.Answer put(Daemon daemon, String handle, String key, String value) {
            return cluster.post(
                    daemon,
                    handle + "/statements",
                    "{\"statements\":[{\"op\":\"put\",\"key\":\"" + key + "\",\"value\":\"" + value + "\"}]}");
        }

        @Test
        void twoInterleavedOnesStayApart() {
            Daemon first = cluster.daemons().get(0);
            Daemon second = cluster.daemons().get(1);
            String kept = begin(first);
            String dropped = begin(second);
            assertThat(put(first, kept, "kept-1", "a").status()).isEqualTo(200);
            assertThat(put(second, dropped, "dropped-1", "b").status()).isEqualTo(200);
            assertThat(put(second, kept, "kept-2", "a").status()).isEqualTo(200);
            assertThat(put(first, dropped, "dropped-2", "b").status()).isEqualTo(200);
            TestCluster.Answer committed = cluster.post(second, kept + "/commit", "");
            assertThat(committed.status()).as(committed.toString()).isEqualTo(200);
            assertThat(cluster.post(first, dropped + "/rollback", "").status()).isEqualTo(200);
            for (String key : List.of("kept-1", "kept-2")) {
                TestCluster.Answer read = cluster.post(
                        first,
                        TestCluster.STATEMENTS,
                        TestCluster.inSession(TestCluster.get(key), committed.session()));
                assertThat(read.result(0).path("value").asText()).isEqualTo("a");
            }
            assertThat(cluster.events(HistoryEvent.WriteApplied.class))
                    .noneMatch(event -> event.key().startsWith("dropped"));
        }

        @Test
        void anEndedOneTakesNoMoreSteps() {
            Daemon daemon = cluster.daemons().get(2);
            String handle = begin(daemon);
            assertThat(put(daemon, handle, "ended", "a").status()).isEqualTo(200);
            assertThat(cluster.post(daemon, handle + "/rollback", "").status()).isEqualTo(200);
            TestCluster.Answer late = put(daemon, handle, "late", "a");
            assertThat(late.status()).as(late.toString()).isEqualTo(404);
            assertThat(late.kind()).isEqualTo("UNKNOWN_TRANSACTION");
        }
    }

    @Nested
    class LostAnswer {
        private final EndpointName primary = EndpointName.of("ledger-1");

        private long applied(String key) {
            return cluster.events(HistoryEvent.WriteApplied.class).stream()
                    .filter(event -> event.endpoint().equals(primary))
                    .filter(event -> event.key().equals(key))
                    .count();
        }

        @Test
        void ofAWriteWithoutKeyIsAnUnknownOutcomeAndTheWriteRunsOnce() throws Exception {
            write(cluster.lead(), "warm", "v");
            cluster.fleet().endpoint(primary).injectAnswerFault(AnswerFault.DISCONNECTED, 1);
            List<TestCluster.Answer> answers = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                answers.add(cluster.post(
                        cluster.daemons().get(0), TestCluster.STATEMENTS, TestCluster.put("lost-" + i, "v")));
            }
            assertThat(answers.stream().map(TestCluster.Answer::status).collect(Collectors.toSet()))
                    .isSubsetOf(200, 504);
            for (int i = 0; i < 5; i++) {
                assertThat(applied("lost-" + i)).isEqualTo(1);
            }
        }

        @Test
        void ofAWriteWithKeyIsMadeUpForByARepeatThatRunsOnce() throws Exception {
            write(cluster.lead(), "warm", "v");
            cluster.fleet().endpoint(primary).injectAnswerFault(AnswerFault.DISCONNECTED, 1);
            for (int i = 0; i < 5; i++) {
                String body = TestCluster.put("keyed-" + i, "v");
                TestCluster.Answer answer = cluster.post(
                        cluster.daemons().get(1),
                        TestCluster.STATEMENTS,
                        body.substring(0, body.length() - 1) + ",\"idempotencyKey\":\"key-" + i + "\"}");
                assertThat(answer.status()).as(answer.toString()).isEqualTo(200);
                assertThat(applied("keyed-" + i)).isEqualTo(1);
            }
        }
    }
}
