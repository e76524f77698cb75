package org.lavenderwick.standins;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.adapters.endpoint.EndpointConnection;
import org.lavenderwick.adapters.endpoint.EndpointOutcome;
import org.lavenderwick.adapters.endpoint.EndpointReply;
import org.lavenderwick.adapters.endpoint.TransactionStep;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
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

class EndpointServerTest {

    private static final String NONE = "[]";

    private TestFleet fleet;

    @BeforeEach
    void start() {
        fleet = new TestFleet(EndpointOptions.DEFAULT.withLockTimeout(SHORT));
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Nested
    class Connections {

        /** Guards against more connections than the supplier allows, and against closed ones that still count. */
        @Test
        void limitHoldsAndClosedConnectionsDoNotCount() throws Exception {
            List<EndpointConnection> all = List.of(fleet.connect(FIRST), fleet.connect(FIRST), fleet.connect(FIRST));

            assertThat(fleet.tryConnect(FIRST, PATIENCE).getLeft().kind()).isEqualTo(ErrorKind.NO_ELIGIBLE_ENDPOINT);
            all.get(0).close();

            until(() -> fleet.endpoint(FIRST).connections() == 2);
            assertThat(fleet.tryConnect(FIRST, PATIENCE).isRight()).isTrue();
        }

        /** Guards against a connection id that works on another TCP connection. */
        @Test
        void connectionIdBelongsToOneTcpConnection() throws Exception {
            HttpClient first = HttpClient.newHttpClient();
            HttpClient second = HttpClient.newHttpClient();
            String id = new JsonMapper()
                    .readTree(post(first, "/connect", "{\"requestId\":\"r\"}").body())
                    .get("connectionId")
                    .textValue();
            String status = "{\"connectionId\":\"" + id + "\",\"requestId\":\"r\"}";

            assertThat(post(second, "/status", status).statusCode()).isEqualTo(409);
            post(second, "/connect", "{\"requestId\":\"r\"}");
            assertThat(fleet.endpoint(FIRST).connections()).isEqualTo(2);
            assertThat(post(second, "/status", status).statusCode()).isEqualTo(409);
            assertThat(post(first, "/status", status).statusCode()).isEqualTo(200);
        }

        private HttpResponse<String> post(HttpClient client, String path, String body) throws Exception {
            HttpRequest request = HttpRequest.newBuilder(
                            URI.create("http://" + fleet.endpoint(FIRST).address() + path))
                    .version(HttpClient.Version.HTTP_1_1)
                    .POST(HttpRequest.BodyPublishers.ofString(body))
                    .build();
            return client.send(request, HttpResponse.BodyHandlers.ofString());
        }

        /** Guards against a transaction that keeps its locks after its client gave up a lost answer. */
        @Test
        void closeIsNoticedAfterALostAnswer() throws Exception {
            EndpointConnection connection = fleet.connect(FIRST);
            fleet.endpoint(FIRST).injectAnswerFault(AnswerFault.LOST, 1);
            await(fleet.write(ADD).step(TransactionStep.BEGIN).start(connection, SHORT));

            until(() -> fleet.endpoint(FIRST).connections() == 0);
            assertThat(fleet.endpoint(FIRST).status().openTransactions()).isZero();
        }

        /** Guards against a partition that spares old or new connections, or that hits other blocks. */
        @Test
        void partitionedBlockIsSilentForOldAndNewConnections() {
            EndpointConnection old = fleet.connect(SECOND);
            fleet.endpoint(SECOND).silentBlocks(Set.of(1));

            assertThat(await(old.status(SHORT)).getLeft().kind()).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
            assertThat(fleet.tryConnect(SECOND, SHORT).getLeft().kind()).isEqualTo(ErrorKind.NO_ELIGIBLE_ENDPOINT);

            fleet.endpoint(SECOND).silentBlocks(Set.of(3));
            assertThat(fleet.tryConnect(SECOND, PATIENCE).isRight()).isTrue();
        }

        /** Guards against work that is lost in a pause, or that runs during it. */
        @Test
        void pausedEndpointRunsItsWorkLate() {
            EndpointConnection connection = fleet.connect(FIRST);
            fleet.endpoint(FIRST).pause();
            assertThat(await(fleet.write(ADD).start(connection, SHORT))
                            .getLeft()
                            .kind())
                    .isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
            assertThat(fleet.value(FIRST, "a")).isEmpty();

            fleet.endpoint(FIRST).resume();

            assertThat(results(fleet.write(ADD).on(fleet.connect(FIRST)))).isEqualTo("[{\"value\":2}]");
        }
    }

    @Nested
    class Transactions {

        /** Guards against dirty reads and against writes that outlive their connection. */
        @Test
        void uncommittedWritesAreInvisibleAndRollBackOnClose() throws Exception {
            EndpointConnection writer = fleet.connect(FIRST);
            EndpointConnection other = fleet.connect(FIRST);
            fleet.write(ADD).step(TransactionStep.BEGIN).on(writer);
            assertThat(results(fleet.read(GET).step(TransactionStep.CONTINUE).on(writer)))
                    .isEqualTo("[{\"value\":1}]");
            assertThat(results(fleet.read(GET).on(other))).isEqualTo("[{\"value\":null}]");
            assertThat(fleet.endpoint(FIRST).status().openTransactions()).isEqualTo(1);

            writer.close();

            until(() -> fleet.endpoint(FIRST).status().openTransactions() == 0);
            assertThat(results(fleet.write(ADD).on(other))).isEqualTo("[{\"value\":1}]");
            assertThat(fleet.events(HistoryEvent.RolledBack.class)).hasSize(1);
        }

        /** Guards against lost updates between a transaction and a write of its own. */
        @Test
        void writeWaitsForTheRowLockOfATransaction() {
            EndpointConnection holder = fleet.connect(FIRST);
            EndpointConnection waiter = fleet.connect(FIRST);
            fleet.read(GET).term(1).step(TransactionStep.BEGIN).on(holder);
            assertThat(outcome(fleet.write(ADD).on(waiter))).isEqualTo(EndpointOutcome.STATEMENT_FAILED);

            fleet.write(ADD).step(TransactionStep.CONTINUE).on(holder);
            assertThat(outcome(fleet.write(NONE).step(TransactionStep.COMMIT).on(holder)))
                    .isEqualTo(EndpointOutcome.DONE);

            assertThat(results(fleet.write(ADD).on(waiter))).isEqualTo("[{\"value\":2}]");
        }

        /** Guards against a deadlock that never ends, and against a failed transaction that keeps its locks. */
        @Test
        void deadlockFailsOneTransactionAndFreesItsLocks() {
            EndpointConnection one = fleet.connect(FIRST);
            EndpointConnection two = fleet.connect(FIRST);
            String addB = ADD.replace("'a'", "'b'");
            fleet.write(ADD).step(TransactionStep.BEGIN).on(one);
            fleet.write(addB).step(TransactionStep.BEGIN).on(two);

            var first = fleet.write(addB).step(TransactionStep.CONTINUE).start(one, PATIENCE);
            var second = fleet.write(ADD).step(TransactionStep.CONTINUE).on(two);

            assertThat(List.of(outcome(await(first)), outcome(second))).contains(EndpointOutcome.STATEMENT_FAILED);
            assertThat(fleet.value(FIRST, "a")).isEmpty();
        }

        /** Guards against steps that run outside of their transaction. */
        @Test
        void stepsNeedTheRightState() {
            EndpointConnection connection = fleet.connect(FIRST);

            for (TransactionStep step :
                    List.of(TransactionStep.CONTINUE, TransactionStep.COMMIT, TransactionStep.ROLLBACK)) {
                assertThat(outcome(fleet.write(ADD).step(step).on(connection)))
                        .isEqualTo(EndpointOutcome.WRONG_TRANSACTION_STATE);
            }
            fleet.write(ADD).step(TransactionStep.BEGIN).on(connection);
            for (TransactionStep step : List.of(TransactionStep.SINGLE, TransactionStep.BEGIN)) {
                assertThat(outcome(fleet.write(ADD).step(step).on(connection)))
                        .isEqualTo(EndpointOutcome.WRONG_TRANSACTION_STATE);
            }
            assertThat(outcome(fleet.write(NONE).step(TransactionStep.ROLLBACK).on(connection)))
                    .isEqualTo(EndpointOutcome.DONE);
            assertThat(fleet.value(FIRST, "a")).isEmpty();
        }

        /** Guards against half of a failed request that stays. */
        @Test
        void failedStatementUndoesTheWholeRequest() {
            EndpointConnection connection = fleet.connect(FIRST);
            String statements = "[{'op':'put','key':'a','value':'text'},{'op':'add','key':'a','amount':1}]";

            assertThat(outcome(fleet.write(statements).on(connection))).isEqualTo(EndpointOutcome.STATEMENT_FAILED);
            assertThat(outcome(fleet.read(ADD).on(connection))).isEqualTo(EndpointOutcome.STATEMENT_FAILED);

            assertThat(fleet.value(FIRST, "a")).isEmpty();
        }
    }

    @Nested
    class IdempotencyKeys {

        /** Guards against a repeated request that runs again at a new primary. */
        @Test
        void recordSurvivesAPromotion() throws Exception {
            EndpointConnection old = fleet.connect(FIRST);
            fleet.endpoint(FIRST).injectAnswerFault(AnswerFault.DISCONNECTED, 1);
            assertThat(fleet.write(ADD).key("k").on(old).getLeft().kind()).isEqualTo(ErrorKind.OUTCOME_UNKNOWN);
            until(() -> fleet.endpoint(SECOND).status().point().position() == 1);
            fleet.endpoint(FIRST).kill();
            EndpointConnection connection = fleet.connect(SECOND);
            assertThat(await(connection.promote(Term.of(2), 1, PATIENCE)).get().primary())
                    .isTrue();

            Either<Failure, EndpointReply> repeated =
                    fleet.write(ADD).term(2).key("k").on(connection);

            assertThat(results(repeated)).isEqualTo("[{\"value\":1}]");
            assertThat(fleet.value(SECOND, "a")).contains("1");
        }

        /** Guards against a record that outlives its effect, so that the repeated request would never run. */
        @Test
        void recordIsLostTogetherWithItsEffect() {
            fleet.endpoint(SECOND).replication(Replication.STOPPED);
            fleet.write(ADD).key("k").on(fleet.connect(FIRST));
            fleet.endpoint(FIRST).kill();
            EndpointConnection connection = fleet.connect(SECOND);
            await(connection.promote(Term.of(2), 0, PATIENCE));

            assertThat(results(fleet.write(ADD).term(2).key("k").on(connection)))
                    .isEqualTo("[{\"value\":1}]");
            assertThat(fleet.value(SECOND, "a")).contains("1");
        }

        /** Guards against a second attempt that runs beside the first one. */
        @Test
        void secondAttemptWaitsForTheFirst() {
            EndpointConnection holder = fleet.connect(FIRST);
            EndpointConnection one = fleet.connect(FIRST);
            EndpointConnection two = fleet.connect(FIRST);
            fleet.read(GET).term(1).step(TransactionStep.BEGIN).on(holder);
            var first = fleet.write(ADD).key("k").start(one, PATIENCE);
            var second = fleet.write(ADD).key("k").start(two, PATIENCE);

            fleet.read(NONE).step(TransactionStep.ROLLBACK).on(holder);

            if (outcome(await(first)) == EndpointOutcome.DONE && outcome(await(second)) == EndpointOutcome.DONE) {
                assertThat(results(await(first))).isEqualTo(results(await(second)));
            }
            assertThat(results(fleet.write(ADD).key("k").on(one))).isEqualTo("[{\"value\":1}]");
        }

        /** Guards against a commit that runs again when its answer was lost. */
        @Test
        void commitIsRecordedToo() {
            EndpointConnection connection = fleet.connect(FIRST);
            fleet.write(ADD).step(TransactionStep.BEGIN).on(connection);
            fleet.write(ADD).step(TransactionStep.COMMIT).key("k").on(connection);

            assertThat(results(fleet.write(ADD)
                            .step(TransactionStep.COMMIT)
                            .key("k")
                            .on(fleet.connect(FIRST))))
                    .isEqualTo("[{\"value\":2}]");
            assertThat(fleet.value(FIRST, "a")).contains("2");
        }
    }

    @Nested
    class Terms {

        /** Guards against a sealed primary that takes new work or cuts off work under way. */
        @Test
        void sealedPrimaryFinishesTransactionsAndRefusesNewWork() {
            EndpointConnection inside = fleet.connect(FIRST);
            EndpointConnection connection = fleet.connect(FIRST);
            fleet.write(ADD).step(TransactionStep.BEGIN).on(inside);

            assertThat(await(connection.seal(Term.of(2), PATIENCE)).get().promisedTerm())
                    .isEqualTo(Term.of(2));

            assertThat(outcome(fleet.write(ADD).on(connection))).isEqualTo(EndpointOutcome.SEALED);
            assertThat(outcome(fleet.read(GET).term(1).on(connection))).isEqualTo(EndpointOutcome.SEALED);
            assertThat(outcome(fleet.write(ADD).step(TransactionStep.COMMIT).on(inside)))
                    .isEqualTo(EndpointOutcome.DONE);
            assertThat(fleet.value(FIRST, "a")).contains("2");
        }

        /** Guards against a promise that is taken back by a lower seal, a promotion or a restart. */
        @Test
        void promiseIsKept() throws Exception {
            await(fleet.connect(SECOND).seal(Term.of(3), PATIENCE));
            fleet.endpoint(SECOND).kill();
            fleet.endpoint(SECOND).restart();
            EndpointConnection connection = fleet.connect(SECOND);

            assertThat(await(connection.seal(Term.of(2), PATIENCE)).get().promisedTerm())
                    .isEqualTo(Term.of(3));
            assertThat(await(connection.promote(Term.of(2), 0, PATIENCE)).get().primary())
                    .isFalse();
            assertThat(await(connection.promote(Term.of(3), 0, PATIENCE)).get().primary())
                    .isTrue();
            until(() -> !fleet.endpoint(FIRST).status().primary());
            assertThat(fleet.endpoint(FIRST).status().term()).isEqualTo(Term.of(3));
        }

        /** Guards against a promotion that invents entries which the candidate does not have. */
        @Test
        void promotionPastTheLogIsRefused() {
            assertThat(await(fleet.connect(SECOND).promote(Term.of(2), 1, PATIENCE))
                            .get()
                            .primary())
                    .isFalse();
        }

        /** Guards against writes of a replaced primary that survive its return. */
        @Test
        void returningPrimaryDropsItsDivergentTail() throws Exception {
            EndpointConnection old = fleet.connect(FIRST);
            fleet.write("[{'op':'put','key':'a','value':'kept'}]").on(old);
            until(() -> fleet.value(SECOND, "a").isPresent()
                    && fleet.value(THIRD, "a").isPresent());
            fleet.endpoint(FIRST).silentBlocks(Set.of(2, 3));
            fleet.write("[{'op':'put','key':'a','value':'lost'},{'op':'put','key':'b','value':1}]")
                    .key("k")
                    .on(old);
            EndpointConnection connection = fleet.connect(SECOND);
            await(connection.promote(Term.of(2), 1, PATIENCE));
            fleet.write("[{'op':'put','key':'c','value':1}]").term(2).on(connection);
            assertThat(fleet.endpoint(FIRST).status().primary()).isTrue();

            fleet.endpoint(FIRST).silentBlocks(Set.of());

            until(() -> fleet.value(FIRST, "c").isPresent());
            assertThat(fleet.value(FIRST, "a")).contains("\"kept\"");
            assertThat(fleet.value(FIRST, "b")).isEmpty();
            assertThat(fleet.endpoint(FIRST).status().term()).isEqualTo(Term.of(2));
            assertThat(outcome(fleet.write(ADD).on(old))).isEqualTo(EndpointOutcome.NOT_PRIMARY);
            assertThat(outcome(fleet.read(GET).minimumPoint(1, 2).on(old))).isEqualTo(EndpointOutcome.WRITE_LOST);
            assertThat(fleet.events(HistoryEvent.Truncated.class)).hasSize(1);
            await(old.promote(Term.of(3), 2, PATIENCE));
            fleet.write("[{'op':'put','key':'b','value':2}]").term(3).key("k").on(old);
            assertThat(fleet.value(FIRST, "b")).contains("2");
        }
    }
}
