package org.lavenderwick.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderwick.adapters.settings.SessionSettings;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.platform.standin.DatabaseStandin;
import org.lavenderwick.platform.standin.OperatorStandin;
import org.lavenderwick.platform.standin.SessionClient;
import org.lavenderwick.platform.standin.StoreStandin;

import static org.assertj.core.api.Assertions.assertThat;

/** Runs a daemon against stand-ins of the platform, over real sockets. */
class SessionDaemonTest {

    /** Longest wait for something that must happen; a failover takes about four seconds. */
    private static final Duration PATIENCE = Duration.ofSeconds(20);

    private StoreStandin store;
    private DatabaseStandin database;
    private SessionDaemon daemon;
    private InetSocketAddress address;
    private InetSocketAddress readiness;

    @BeforeEach
    void start() throws Exception {
        store = StoreStandin.start();
        database = DatabaseStandin.start("db", 3, store);
        OperatorStandin.configure(store, 1, "orders", "read_your_writes", "db", 1000);
        address = freeAddress();
        readiness = freeAddress();
        daemon = SessionDaemon.start(new SessionSettings(
                DaemonName.of("d1"),
                FailureDomain.of("z1"),
                address,
                readiness,
                freeAddress(),
                store.address(),
                database.ordersAddress(),
                Duration.ofSeconds(3),
                Duration.ofSeconds(6)));
        await(() -> {
            try (SessionClient client = SessionClient.open(address, "orders")) {
                return succeeded(client.query("WRITE start 1"));
            }
        });
    }

    @AfterEach
    void stop() {
        daemon.close();
        database.close();
        store.close();
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }

    private static void await(Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + PATIENCE.toNanos();
        while (!condition.call()) {
            assertThat(System.nanoTime()).as("time is up").isLessThan(end);
            Thread.sleep(20);
        }
    }

    private static boolean succeeded(List<String> answer) {
        return answer.stream().anyMatch(line -> line.startsWith("COMPLETE digest"));
    }

    private SessionClient open() throws IOException {
        return SessionClient.open(address, "orders");
    }

    private long runsOf(String text) {
        return IntStream.rangeClosed(1, 3)
                .mapToObj(index -> database.endpoint("db-" + index).ran())
                .flatMap(List::stream)
                .filter(run -> run.contains(text))
                .count();
    }

    @Nested
    class Statements {

        @Test
        void areAnsweredWithTheRowsAndDigestOfTheEndpoint() throws IOException {
            try (SessionClient client = open()) {
                client.query("WRITE a 1");
                List<String> answer = client.query("READ a");
                assertThat(answer.get(0)).isEqualTo("ROW 1");
                assertThat(answer.get(1)).startsWith("COMPLETE digest.db-");
                assertThat(answer.get(2)).startsWith("READY I 1.");
            }
        }

        @Test
        void ofTwoSessionsDoNotShareValuesOrNames() throws IOException {
            try (SessionClient first = open();
                    SessionClient second = open()) {
                first.query("SET zone a");
                first.query("PARSE s WRITE x");
                second.query("PARSE s READ y");
                assertThat(succeeded(first.query("EXECUTE s item value"))).isTrue();
                assertThat(second.query("EXECUTE s item").get(0)).isEqualTo("ROW value");
                assertThat(runsOf("value {zone=a}")).isEqualTo(1);
                assertThat(runsOf("EXECUTE p1 item {}") + runsOf("EXECUTE p2 item {}"))
                        .isEqualTo(1);
            }
        }

        @Test
        void withAnUnknownNameFail() throws IOException {
            try (SessionClient client = open()) {
                assertThat(client.query("EXECUTE none a").get(0)).startsWith("ERROR NOSTMT");
                client.query("PARSE s READ y");
                client.query("CLOSE s");
                assertThat(client.query("EXECUTE s a").get(0)).startsWith("ERROR NOSTMT");
            }
        }

        @Test
        void thatDidNotRunAreTriedAgain() throws IOException {
            try (SessionClient client = open()) {
                database.endpoint("db-1").nextAnswer("BUSY");
                assertThat(succeeded(client.query("WRITE a 1"))).isTrue();
                assertThat(runsOf("WRITE a 1")).isEqualTo(1);
            }
        }

        @ParameterizedTest
        @ValueSource(strings = {"lose", "cut"})
        void thatWriteAreSentOnceWhenTheirAnswerIsLost(String fault) throws IOException {
            try (SessionClient client = open()) {
                database.endpoint("db-1").nextAnswer(fault);
                assertThat(client.query("WRITE a 1").get(0)).startsWith("ERROR INDOUBT");
                assertThat(runsOf("WRITE a 1")).isEqualTo(1);
                assertThat(succeeded(client.query("READ a"))).isTrue();
            }
        }

        @ParameterizedTest
        @ValueSource(strings = {"lose", "cut"})
        void thatReadAreSentAgainWhenTheirAnswerIsLost(String fault) throws IOException {
            try (SessionClient client = open()) {
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
            try (SessionClient client = open()) {
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
            try (SessionClient client = open();
                    SessionClient other = open()) {
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
            try (SessionClient client = open()) {
                client.query("BEGIN");
                client.query("WRITE gone 1");
            }
            try (SessionClient client = open()) {
                client.query("WRITE kept 1");
                client.query("BEGIN");
                assertThat(client.query("READ gone").get(0)).isEqualTo("ROW none");
                client.query("COMMIT");
            }
        }

        @Test
        void areAbortedWhenTheirEndpointIsLost() throws IOException {
            try (SessionClient client = open()) {
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
            try (SessionClient client = open()) {
                client.query("BEGIN");
                client.query("WRITE a 1");
                database.endpoint("db-1").nextAnswer("lose");
                assertThat(client.query("COMMIT").get(0)).startsWith("ERROR INDOUBT");
            }
        }

        @Test
        void thatStayIdleAreRolledBack() throws Exception {
            try (SessionClient client = open()) {
                client.query("BEGIN");
                client.query("WRITE a 1");
                Thread.sleep(1500);
                assertThat(client.query("COMMIT").get(0)).startsWith("ERROR ABORTED");
                assertThat(runsOf("COMMIT")).isZero();
            }
        }

        @Test
        void refuseStatementsOutOfState() throws IOException {
            try (SessionClient client = open()) {
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
            try (SessionClient client = SessionClient.connect(address)) {
                client.send("CONNECT nothing me");
                assertThat(client.answer().get(0)).startsWith("ERROR NODB");
            }
        }

        @ParameterizedTest
        @ValueSource(strings = {"HELLO", "QUERY - READ a", "QUERY x", "\0\0\0", "QUERY a READ b\rQUERY c READ d"})
        void thatIsNoMessageEndsTheSessionAndNoOther(String line) throws IOException {
            try (SessionClient bad = open();
                    SessionClient good = open()) {
                bad.send(line);
                List<String> answer = bad.answer();
                assertThat(answer.get(0)).startsWith("ERROR MALFORMED");
                assertThat(answer).endsWith("closed");
                assertThat(succeeded(good.query("READ start"))).isTrue();
            }
            assertThat(runsOf("READ b") + runsOf("READ d")).isZero();
        }

        @ParameterizedTest
        @ValueSource(strings = {"STATUS", "AFTERLSN 1.0 READ a", "PAUSE 9", "READ", "DROP a", "WRITE a"})
        void thatIsNoStatementIsRefused(String text) throws IOException {
            try (SessionClient client = open()) {
                assertThat(client.query(text).get(0)).startsWith("ERROR MALFORMED");
                assertThat(succeeded(client.query("READ start"))).isTrue();
            }
        }

        @Test
        void thatIsTooLongIsRefused() throws IOException {
            try (SessionClient client = open()) {
                try {
                    client.send("QUERY x WRITE a " + "y".repeat(1 << 21));
                    assertThat(client.answer().get(0)).startsWith("ERROR TOOBIG");
                } catch (IOException e) {
                    // The daemon closed the connection while the message was still being sent.
                    assertThat(e).hasMessageMatching("(?i).*(reset|broken pipe).*");
                }
            }
            assertThat(runsOf("yyy")).isZero();
        }
    }

    @Nested
    class Fleet {

        @Test
        void configurationIsInForceWithinItsBound() throws Exception {
            OperatorStandin.configure(store, 2, "renamed", "primary", "db", 1000);
            await(() -> {
                try (SessionClient client = SessionClient.connect(address)) {
                    client.send("CONNECT renamed me");
                    return client.answer().get(0).startsWith("READY I");
                }
            });
            try (SessionClient client = SessionClient.connect(address)) {
                client.send("CONNECT orders me");
                assertThat(client.answer().get(0)).startsWith("ERROR NODB");
            }
        }

        @Test
        void configurationThatEveryWatchMissedIsFound() throws Exception {
            store.deafWatches(true);
            OperatorStandin.configure(store, 2, "renamed", "primary", "db", 1000);
            store.deafWatches(false);
            await(() -> {
                try (SessionClient client = SessionClient.connect(address)) {
                    client.send("CONNECT renamed me");
                    return client.answer().get(0).startsWith("READY I");
                }
            });
        }

        @Test
        void endpointThatLeavesGetsNoNewWork() throws Exception {
            database.endpoint("db-2").drain();
            database.endpoint("db-3").drain();
            Thread.sleep(500);
            int before = database.endpoint("db-2").ran().size()
                    + database.endpoint("db-3").ran().size();
            try (SessionClient client = open()) {
                for (int index = 0; index < 20; index++) {
                    assertThat(succeeded(client.query("READ start"))).isTrue();
                }
            }
            assertThat(database.endpoint("db-2").ran().size()
                            + database.endpoint("db-3").ran().size())
                    .isEqualTo(before);
        }

        @Test
        void primaryThatDiesIsReplaced() throws Exception {
            try (SessionClient client = open()) {
                client.query("WRITE kept 1");
                database.endpoint("db-1").kill();
                await(() -> succeeded(client.query("WRITE later 1")));
                assertThat(client.query("READ kept").get(0)).isEqualTo("ROW 1");
            }
            assertThat(database.promotions()).hasSize(1);
            assertThat(database.fences()).doesNotContain(0L);
        }

        @Test
        void primaryThatFallsSilentIsReplaced() throws Exception {
            try (SessionClient client = open()) {
                database.endpoint("db-1").silent(true);
                await(() -> succeeded(client.query("WRITE later 1")));
            }
            assertThat(database.promotions()).hasSize(1);
        }

        @Test
        void primaryThatLeavesIsReplacedWithoutALostWrite() throws Exception {
            try (SessionClient client = open()) {
                client.query("WRITE kept 1");
                database.endpoint("db-1").drain();
                await(() -> !database.promotions().isEmpty());
                await(() -> succeeded(client.query("WRITE later 1")));
                assertThat(client.query("READ kept").get(0)).isEqualTo("ROW 1");
            }
        }

        @Test
        void readsGoOnForTheirAcceptedAgeWhileTheStoreIsDown() throws Exception {
            try (SessionClient client = open()) {
                client.query("WRITE a 1");
                store.down(true);
                for (int index = 0; index < 10; index++) {
                    assertThat(succeeded(client.query("READ a"))).isTrue();
                }
                store.down(false);
                await(() -> succeeded(client.query("WRITE b 1")));
            }
        }
    }

    @Nested
    class Stop {

        @Test
        void leavesTheRotationAndClosesIdleSessions() throws Exception {
            try (SessionClient probe = SessionClient.connect(readiness);
                    SessionClient client = open()) {
                Thread stopping = new Thread(() -> {
                    try {
                        daemon.stop();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                stopping.start();
                Thread.sleep(100);
                probe.send("GET /lavenderwick/ready HTTP/1.1\r\n");
                assertThat(probe.line()).startsWith("HTTP/1.1 503");
                assertThat(succeeded(client.query("READ start"))).isTrue();
                assertThat(client.answer()).containsExactly("closed");
                stopping.join();
            }
        }
    }
}
