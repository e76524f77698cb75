package org.lavenderwick.daemon;

import java.io.IOException;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderwick.platform.standin.DatabaseStandin;
import org.lavenderwick.platform.standin.SessionClient;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lavenderwick.daemon.SessionFleet.succeeded;

/** Tests statements, transactions and invalid input at one daemon, with stand-ins of the platform over real sockets. */
class SessionDaemonTest {

    private SessionFleet fleet;
    private SessionFleet.Member member;
    private DatabaseStandin database;

    @BeforeEach
    void start() throws Exception {
        fleet = SessionFleet.withOneDaemon();
        member = fleet.firstMember();
        database = fleet.database();
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Nested
    class Statements {

        @Test
        void statementReturnsRowsAndDigestOfEndpoint() throws IOException {
            try (SessionClient client = fleet.openSession()) {
                client.query("WRITE a 1");
                List<String> response = client.query("READ a");
                assertThat(response.get(0)).isEqualTo("ROW 1");
                assertThat(response.get(1)).startsWith("COMPLETE digest.db-");
                assertThat(response.get(2)).startsWith("READY I 1.");
            }
        }

        @Test
        void sessionsDoNotShareVariablesOrPreparedStatements() throws IOException {
            try (SessionClient first = fleet.openSession();
                    SessionClient second = fleet.openSession()) {
                first.query("SET zone a");
                first.query("PARSE s WRITE x");
                second.query("PARSE s READ y");
                assertThat(succeeded(first.query("EXECUTE s item value"))).isTrue();
                assertThat(second.query("EXECUTE s item").get(0)).isEqualTo("ROW value");
                assertThat(fleet.runCount("value {zone=a}")).isEqualTo(1);
                assertThat(fleet.runCount("EXECUTE p1 item {}") + fleet.runCount("EXECUTE p2 item {}"))
                        .isEqualTo(1);
            }
        }

        @Test
        void executeOfUnknownPreparedStatementFails() throws IOException {
            try (SessionClient client = fleet.openSession()) {
                assertThat(client.query("EXECUTE none a").get(0)).startsWith("ERROR NOSTMT");
                client.query("PARSE s READ y");
                client.query("CLOSE s");
                assertThat(client.query("EXECUTE s a").get(0)).startsWith("ERROR NOSTMT");
            }
        }

        @Test
        void statementThatDidNotRunIsRetried() throws IOException {
            try (SessionClient client = fleet.openSession()) {
                database.endpoint("db-1").nextAnswer("BUSY");
                assertThat(succeeded(client.query("WRITE a 1"))).isTrue();
                assertThat(fleet.runCount("WRITE a 1")).isEqualTo(1);
            }
        }

        @ParameterizedTest
        @ValueSource(strings = {"lose", "cut"})
        void writeIsNotRetriedWhenItsResponseIsLost(String fault) throws IOException {
            try (SessionClient client = fleet.openSession()) {
                database.endpoint("db-1").nextAnswer(fault);
                assertThat(client.query("WRITE a 1").get(0)).startsWith("ERROR INDOUBT");
                assertThat(fleet.runCount("WRITE a 1")).isEqualTo(1);
                assertThat(succeeded(client.query("READ a"))).isTrue();
            }
        }

        @ParameterizedTest
        @ValueSource(strings = {"lose", "cut"})
        void readIsRetriedWhenItsResponseIsLost(String fault) throws IOException {
            try (SessionClient client = fleet.openSession()) {
                IntStream.rangeClosed(1, 3)
                        .forEach(index -> database.endpoint("db-" + index).nextAnswer(fault));
                List<String> response = client.query("READ start");
                IntStream.rangeClosed(1, 3)
                        .forEach(index -> database.endpoint("db-" + index).nextAnswer(null));
                assertThat(succeeded(response) || response.get(0).startsWith("ERROR TIMEOUT"))
                        .isTrue();
                assertThat(succeeded(client.query("READ start"))).isTrue();
            }
        }

        @Test
        void sessionReadsItsOwnWritesWhileReplicasReceiveNoLog() throws IOException {
            database.endpoint("db-2").deaf(true);
            database.endpoint("db-3").deaf(true);
            try (SessionClient client = fleet.openSession()) {
                for (int index = 0; index < 10; index++) {
                    client.query("WRITE a " + index);
                    assertThat(client.query("READ a").get(0)).isEqualTo("ROW " + index);
                }
            }
        }
    }

    @Nested
    class Transactions {

        @Test
        void transactionIsIsolatedUntilItCommits() throws IOException {
            try (SessionClient client = fleet.openSession();
                    SessionClient other = fleet.openSession()) {
                assertThat(client.query("BEGIN").get(1)).startsWith("READY T");
                client.query("WRITE t 1");
                assertThat(other.query("READ t").get(0)).isEqualTo("ROW none");
                assertThat(succeeded(client.query("COMMIT"))).isTrue();
                assertThat(other.query("BEGIN").get(1)).startsWith("READY T");
                assertThat(other.query("READ t").get(0)).isEqualTo("ROW 1");
                other.query("ROLLBACK");
            }
        }

        @Test
        void transactionIsRolledBackWhenItsClientDisconnects() throws Exception {
            try (SessionClient client = fleet.openSession()) {
                client.query("BEGIN");
                client.query("WRITE gone 1");
            }
            try (SessionClient client = fleet.openSession()) {
                client.query("WRITE kept 1");
                client.query("BEGIN");
                assertThat(client.query("READ gone").get(0)).isEqualTo("ROW none");
                client.query("COMMIT");
            }
        }

        @Test
        void transactionIsAbortedWhenTheEndpointConnectionIsLost() throws IOException {
            try (SessionClient client = fleet.openSession()) {
                client.query("BEGIN");
                client.query("WRITE a 1");
                database.endpoint("db-1").nextAnswer("lose");
                List<String> response = client.query("WRITE b 1");
                assertThat(response.get(0)).startsWith("ERROR ABORTED");
                assertThat(response.get(1)).startsWith("READY E");
                assertThat(client.query("READ a").get(0)).startsWith("ERROR MALFORMED");
                assertThat(client.query("ROLLBACK").get(1)).startsWith("READY I");
            }
        }

        @Test
        void commitIsInDoubtWhenItsResponseIsLost() throws IOException {
            try (SessionClient client = fleet.openSession()) {
                client.query("BEGIN");
                client.query("WRITE a 1");
                database.endpoint("db-1").nextAnswer("lose");
                assertThat(client.query("COMMIT").get(0)).startsWith("ERROR INDOUBT");
            }
        }

        @Test
        void idleTransactionIsAborted() throws Exception {
            try (SessionClient client = fleet.openSession()) {
                client.query("BEGIN");
                client.query("WRITE a 1");
                Thread.sleep(1500);
                assertThat(client.query("COMMIT").get(0)).startsWith("ERROR ABORTED");
                assertThat(fleet.runCount("COMMIT")).isZero();
            }
        }

        @Test
        void statementsInvalidInTransactionStateAreRejected() throws IOException {
            try (SessionClient client = fleet.openSession()) {
                assertThat(client.query("COMMIT").get(0)).startsWith("ERROR MALFORMED");
                client.query("BEGIN");
                assertThat(client.query("BEGIN").get(0)).startsWith("ERROR MALFORMED");
                assertThat(succeeded(client.query("COMMIT"))).isTrue();
            }
        }
    }

    @Nested
    class InvalidInput {

        @Test
        void connectToUnknownDatabaseIsRejected() throws IOException {
            try (SessionClient client = SessionClient.connect(member.address())) {
                client.send("CONNECT nothing me");
                assertThat(client.answer().get(0)).startsWith("ERROR NODB");
            }
        }

        @ParameterizedTest
        @ValueSource(strings = {"HELLO", "QUERY - READ a", "QUERY x", "\0\0\0", "QUERY a READ b\rQUERY c READ d"})
        void malformedMessageClosesOnlyItsOwnSession(String line) throws IOException {
            try (SessionClient malformed = fleet.openSession();
                    SessionClient unaffected = fleet.openSession()) {
                malformed.send(line);
                List<String> response = malformed.answer();
                assertThat(response.get(0)).startsWith("ERROR MALFORMED");
                assertThat(response).endsWith("closed");
                assertThat(succeeded(unaffected.query("READ start"))).isTrue();
            }
            assertThat(fleet.runCount("READ b") + fleet.runCount("READ d")).isZero();
        }

        @ParameterizedTest
        @MethodSource("org.lavenderwick.platform.standin.SessionClient#statementsThatCallersMayNotSend")
        void malformedStatementIsRejectedAndSessionContinues(String text) throws IOException {
            try (SessionClient client = fleet.openSession()) {
                assertThat(client.query(text).get(0)).startsWith("ERROR MALFORMED");
                assertThat(succeeded(client.query("READ start"))).isTrue();
            }
        }

        @Test
        void tooLongMessageIsRejected() throws IOException {
            try (SessionClient client = fleet.openSession()) {
                try {
                    client.send("QUERY x WRITE a " + "y".repeat(1 << 21));
                    assertThat(client.answer().get(0)).startsWith("ERROR TOOBIG");
                } catch (IOException e) {
                    // The daemon closed the connection before the whole message was sent.
                    assertThat(e).hasMessageMatching("(?i).*(reset|broken pipe).*");
                }
            }
            assertThat(fleet.runCount("yyy")).isZero();
        }
    }
}
