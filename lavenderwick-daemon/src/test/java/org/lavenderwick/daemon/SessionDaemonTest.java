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

/** Tests a session daemon against stand-ins of the platform, over real sockets. */
class SessionDaemonTest {

    private SessionFleet fleet;
    private SessionFleet.Member member;
    private DatabaseStandin database;

    @BeforeEach
    void start() throws Exception {
        fleet = SessionFleet.ofOne();
        member = fleet.first();
        database = fleet.database();
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Nested
    class Statements {

        @Test
        void areAnsweredWithTheRowsAndDigestOfTheEndpoint() throws IOException {
            try (SessionClient client = fleet.open()) {
                client.query("WRITE a 1");
                List<String> answer = client.query("READ a");
                assertThat(answer.get(0)).isEqualTo("ROW 1");
                assertThat(answer.get(1)).startsWith("COMPLETE digest.db-");
                assertThat(answer.get(2)).startsWith("READY I 1.");
            }
        }

        @Test
        void ofTwoSessionsDoNotShareValuesOrNames() throws IOException {
            try (SessionClient first = fleet.open();
                    SessionClient second = fleet.open()) {
                first.query("SET zone a");
                first.query("PARSE s WRITE x");
                second.query("PARSE s READ y");
                assertThat(succeeded(first.query("EXECUTE s item value"))).isTrue();
                assertThat(second.query("EXECUTE s item").get(0)).isEqualTo("ROW value");
                assertThat(fleet.runsOf("value {zone=a}")).isEqualTo(1);
                assertThat(fleet.runsOf("EXECUTE p1 item {}") + fleet.runsOf("EXECUTE p2 item {}"))
                        .isEqualTo(1);
            }
        }

        @Test
        void withAnUnknownNameFail() throws IOException {
            try (SessionClient client = fleet.open()) {
                assertThat(client.query("EXECUTE none a").get(0)).startsWith("ERROR NOSTMT");
                client.query("PARSE s READ y");
                client.query("CLOSE s");
                assertThat(client.query("EXECUTE s a").get(0)).startsWith("ERROR NOSTMT");
            }
        }

        @Test
        void thatDidNotRunAreTriedAgain() throws IOException {
            try (SessionClient client = fleet.open()) {
                database.endpoint("db-1").nextAnswer("BUSY");
                assertThat(succeeded(client.query("WRITE a 1"))).isTrue();
                assertThat(fleet.runsOf("WRITE a 1")).isEqualTo(1);
            }
        }

        @ParameterizedTest
        @ValueSource(strings = {"lose", "cut"})
        void thatWriteAreSentOnceWhenTheirAnswerIsLost(String fault) throws IOException {
            try (SessionClient client = fleet.open()) {
                database.endpoint("db-1").nextAnswer(fault);
                assertThat(client.query("WRITE a 1").get(0)).startsWith("ERROR INDOUBT");
                assertThat(fleet.runsOf("WRITE a 1")).isEqualTo(1);
                assertThat(succeeded(client.query("READ a"))).isTrue();
            }
        }

        @ParameterizedTest
        @ValueSource(strings = {"lose", "cut"})
        void thatReadAreSentAgainWhenTheirAnswerIsLost(String fault) throws IOException {
            try (SessionClient client = fleet.open()) {
                IntStream.rangeClosed(1, 3)
                        .forEach(index -> database.endpoint("db-" + index).nextAnswer(fault));
                List<String> answer = client.query("READ start");
                IntStream.rangeClosed(1, 3)
                        .forEach(index -> database.endpoint("db-" + index).nextAnswer(null));
                assertThat(succeeded(answer) || answer.get(0).startsWith("ERROR TIMEOUT"))
                        .isTrue();
                assertThat(succeeded(client.query("READ start"))).isTrue();
            }
        }

        @Test
        void readWhatTheSessionHasWrittenWhileReplicasReceiveNothing() throws IOException {
            database.endpoint("db-2").deaf(true);
            database.endpoint("db-3").deaf(true);
            try (SessionClient client = fleet.open()) {
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
        void runOnOneConnectionAndCommitAtTheEnd() throws IOException {
            try (SessionClient client = fleet.open();
                    SessionClient other = fleet.open()) {
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
        void areRolledBackWhenTheirCallerLeaves() throws Exception {
            try (SessionClient client = fleet.open()) {
                client.query("BEGIN");
                client.query("WRITE gone 1");
            }
            try (SessionClient client = fleet.open()) {
                client.query("WRITE kept 1");
                client.query("BEGIN");
                assertThat(client.query("READ gone").get(0)).isEqualTo("ROW none");
                client.query("COMMIT");
            }
        }

        @Test
        void areAbortedWhenTheirEndpointIsLost() throws IOException {
            try (SessionClient client = fleet.open()) {
                client.query("BEGIN");
                client.query("WRITE a 1");
                database.endpoint("db-1").nextAnswer("lose");
                List<String> answer = client.query("WRITE b 1");
                assertThat(answer.get(0)).startsWith("ERROR ABORTED");
                assertThat(answer.get(1)).startsWith("READY E");
                assertThat(client.query("READ a").get(0)).startsWith("ERROR MALFORMED");
                assertThat(client.query("ROLLBACK").get(1)).startsWith("READY I");
            }
        }

        @Test
        void areInDoubtWhenTheAnswerToTheCommitIsLost() throws IOException {
            try (SessionClient client = fleet.open()) {
                client.query("BEGIN");
                client.query("WRITE a 1");
                database.endpoint("db-1").nextAnswer("lose");
                assertThat(client.query("COMMIT").get(0)).startsWith("ERROR INDOUBT");
            }
        }

        @Test
        void thatStayIdleAreRolledBack() throws Exception {
            try (SessionClient client = fleet.open()) {
                client.query("BEGIN");
                client.query("WRITE a 1");
                Thread.sleep(1500);
                assertThat(client.query("COMMIT").get(0)).startsWith("ERROR ABORTED");
                assertThat(fleet.runsOf("COMMIT")).isZero();
            }
        }

        @Test
        void refuseStatementsOutOfState() throws IOException {
            try (SessionClient client = fleet.open()) {
                assertThat(client.query("COMMIT").get(0)).startsWith("ERROR MALFORMED");
                client.query("BEGIN");
                assertThat(client.query("BEGIN").get(0)).startsWith("ERROR MALFORMED");
                assertThat(succeeded(client.query("COMMIT"))).isTrue();
            }
        }
    }

    @Nested
    class Input {

        @Test
        void ofAnUnknownDatabaseIsRefused() throws IOException {
            try (SessionClient client = SessionClient.connect(member.address())) {
                client.send("CONNECT nothing me");
                assertThat(client.answer().get(0)).startsWith("ERROR NODB");
            }
        }

        @ParameterizedTest
        @ValueSource(strings = {"HELLO", "QUERY - READ a", "QUERY x", "\0\0\0", "QUERY a READ b\rQUERY c READ d"})
        void thatIsNoMessageEndsTheSessionAndNoOther(String line) throws IOException {
            try (SessionClient bad = fleet.open();
                    SessionClient good = fleet.open()) {
                bad.send(line);
                List<String> answer = bad.answer();
                assertThat(answer.get(0)).startsWith("ERROR MALFORMED");
                assertThat(answer).endsWith("closed");
                assertThat(succeeded(good.query("READ start"))).isTrue();
            }
            assertThat(fleet.runsOf("READ b") + fleet.runsOf("READ d")).isZero();
        }

        @ParameterizedTest
        @MethodSource("org.lavenderwick.platform.standin.SessionClient#statementsThatCallersMayNotSend")
        void thatIsNoStatementIsRefused(String text) throws IOException {
            try (SessionClient client = fleet.open()) {
                assertThat(client.query(text).get(0)).startsWith("ERROR MALFORMED");
                assertThat(succeeded(client.query("READ start"))).isTrue();
            }
        }

        @Test
        void thatIsTooLongIsRefused() throws IOException {
            try (SessionClient client = fleet.open()) {
                try {
                    client.send("QUERY x WRITE a " + "y".repeat(1 << 21));
                    assertThat(client.answer().get(0)).startsWith("ERROR TOOBIG");
                } catch (IOException e) {
                    // The daemon closed the connection before the whole message was sent.
                    assertThat(e).hasMessageMatching("(?i).*(reset|broken pipe).*");
                }
            }
            assertThat(fleet.runsOf("yyy")).isZero();
        }
    }
}
