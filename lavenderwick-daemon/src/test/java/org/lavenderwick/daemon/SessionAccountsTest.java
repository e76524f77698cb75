package org.lavenderwick.daemon;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lavenderwick.core.account.KeyFingerprint;
import org.lavenderwick.platform.standin.OperatorStandin;
import org.lavenderwick.platform.standin.OperatorStandin.Account;
import org.lavenderwick.platform.standin.OperatorStandin.Route;
import org.lavenderwick.platform.standin.SessionClient;
import org.slf4j.LoggerFactory;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lavenderwick.daemon.SessionFleet.await;
import static org.lavenderwick.daemon.SessionFleet.succeeded;

/**
 * Tests two daemons, of which one relays to the other, under a configuration with client accounts. Each test that is
 * run for either daemon covers a session that is served locally and one that is relayed.
 */
class SessionAccountsTest {

    /** Connection limit of an endpoint that allows one owner, as in {@link SessionRelayTest}. */
    private static final int CONNECTION_LIMIT = 6;

    /** Connections of an endpoint that are not reserved. */
    private static final int SHARED_CONNECTIONS = 3;

    private static final int STATEMENT_TIMEOUT_MS = 4000;

    private static final String PUBLIC_DATABASE = "news";

    /** The key that the fleet's own check of service presents. */
    private static final String PROBE_KEY = "tester";

    private static final String KEY = "alpha-secret-key";

    private static final String UNKNOWN_KEY = "unknown-secret-key";

    private SessionFleet fleet;
    private final List<SessionFleet.Member> members = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        fleet = new SessionFleet();
        configure(1, KEY);
        members.add(fleet.startDaemon());
        members.add(fleet.startDaemon());
        // Gives the daemons time to discover each other, after which one of them relays.
        Thread.sleep(1500);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    private void configure(int version, String... keys) {
        OperatorStandin.configure(
                fleet.store(),
                version,
                List.of(new Route(SessionFleet.DATABASE, "primary"), new Route(PUBLIC_DATABASE, "primary", true)),
                SessionFleet.GROUP,
                STATEMENT_TIMEOUT_MS,
                CONNECTION_LIMIT,
                List.of(new Account("probe", List.of(PROBE_KEY)), new Account("alpha", List.of(keys))));
    }

    private void withdrawKey() {
        configure(2);
    }

    private static List<String> connect(SessionFleet.Member member, String database, String key) throws IOException {
        try (SessionClient client = SessionClient.connect(member.address())) {
            client.send("CONNECT " + database + " " + key);
            return client.answer();
        }
    }

    private static boolean isRejected(SessionFleet.Member member) throws IOException {
        return connect(member, SessionFleet.DATABASE, KEY).get(0).startsWith("ERROR NOAUTH");
    }

    private SessionClient open(int member) throws IOException {
        return SessionClient.open(members.get(member).address(), SessionFleet.DATABASE, KEY);
    }

    @Test
    void onlyKnownKeysOpenSessionsAndPublicDatabasesNeedNone() throws IOException {
        for (SessionFleet.Member member : members) {
            List<String> rejection = connect(member, SessionFleet.DATABASE, UNKNOWN_KEY);
            assertThat(rejection).hasSize(2).last().isEqualTo("closed");
            assertThat(rejection.get(0)).startsWith("ERROR NOAUTH");
            assertThat(connect(member, SessionFleet.DATABASE, KEY).get(0)).startsWith("READY I");
            assertThat(connect(member, PUBLIC_DATABASE, UNKNOWN_KEY).get(0)).startsWith("READY I");
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void idleSessionIsClosedWithoutALineAndOthersStay(int member) throws IOException {
        try (SessionClient idle = open(member);
                SessionClient other = SessionClient.open(members.get(member).address(), SessionFleet.DATABASE)) {
            assertThat(succeeded(idle.query("WRITE item 1"))).isTrue();
            withdrawKey();
            assertThat(idle.line()).isNull();
            assertThat(succeeded(other.query("WRITE item 2"))).isTrue();
        }
    }

    /** Guards against a transaction that commits for a key after its time, and against one cut off before it. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void openTransactionIsRolledBack(int member) throws IOException {
        try (SessionClient client = open(member)) {
            client.query("BEGIN");
            assertThat(succeeded(client.query("WRITE held lost"))).isTrue();
            withdrawKey();
            List<String> response = client.query("READ held");
            while (response.get(response.size() - 1).startsWith("READY T")) {
                response = client.query("READ held");
            }
            assertThat(response).last().isEqualTo("closed");
            assertThat(response.stream().filter(line -> line.startsWith("ROW"))).isEmpty();
            assertThat(fleet.database().commits())
                    .noneMatch(commit -> commit.value().equals("lost"));
        }
    }

    /** Guards against a daemon that goes on with an old configuration while the store rejects its calls. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void daemonThatTheStoreRejectsLearnsOfAWithdrawalFromOthers(int member) throws Exception {
        fleet.refuseStoreCalls(members.get(member));
        try (SessionClient idle = open(member)) {
            withdrawKey();
            assertThat(idle.line()).isNull();
            assertThat(isRejected(members.get(member))).isTrue();
        }
    }

    /** Guards against a statement that is sent after the withdrawal because it was queued before. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void queuedStatementIsRejectedAsNotRun(int member) throws Exception {
        String primary = SessionFleet.GROUP + "-1";
        List<SessionClient> busy = new ArrayList<>();
        try (SessionClient client = open(member)) {
            // One of the connections is the daemon's own and serves no account.
            for (int index = 1; index < SHARED_CONNECTIONS; index++) {
                SessionClient other = SessionClient.open(members.get(member).address(), SessionFleet.DATABASE);
                busy.add(other);
                fleet.database().endpoint(primary).nextAnswer("delay " + STATEMENT_TIMEOUT_MS * 3 / 4);
                other.send("QUERY q WRITE busy " + index);
                long running = index;
                await(() -> fleet.runCount("WRITE busy") == running);
            }
            client.send("QUERY q1 WRITE late 1");
            withdrawKey();
            List<String> response = client.answer();
            assertThat(response).hasSize(2).last().isEqualTo("closed");
            assertThat(response.get(0)).startsWith("ERROR NOAUTH");
            assertThat(fleet.runCount("late")).isZero();
            for (SessionClient other : busy) {
                other.close();
            }
        }
    }

    /** Guards against a write that runs and is reported as not run. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void sentStatementGetsItsResponse(int member) throws Exception {
        try (SessionClient client = open(member)) {
            fleet.database().endpoint(SessionFleet.GROUP + "-1").nextAnswer("delay 600");
            client.send("QUERY q1 WRITE sent 1");
            await(() -> fleet.runCount("sent") == 1);
            withdrawKey();
            assertThat(succeeded(client.answer())).isTrue();
            assertThat(client.line()).isNull();
        }
    }

    @Test
    void restartedDaemonRejectsAWithdrawnKey() throws Exception {
        withdrawKey();
        fleet.kill(members.remove(0));
        members.add(fleet.startDaemon());
        for (SessionFleet.Member member : members) {
            await(() -> isRejected(member));
        }
    }

    /** Guards against the copy's keys, until the operator has written the newest configuration again. */
    @Test
    void storeThatComesBackFromACopyDoesNotReviveAWithdrawnKey() throws Exception {
        fleet.store().copy();
        withdrawKey();
        for (SessionFleet.Member member : members) {
            await(() -> isRejected(member));
        }
        fleet.store().restore();
        for (int round = 0; round < 15; round++) {
            for (SessionFleet.Member member : members) {
                assertThat(isRejected(member)).isTrue();
            }
            Thread.sleep(100);
        }
    }

    @Nested
    class Owner {

        private String openRelayed(SessionFleet.Member owner, long version, String key, String account)
                throws IOException {
            try (SessionClient client = SessionClient.connect(owner.peerAddress())) {
                client.send("CONNECT " + SessionFleet.DATABASE + " - RELAY " + version + " " + SessionFleet.GROUP
                        + " KEY " + KeyFingerprint.ofKey(key) + " " + account);
                return client.answer().get(0);
            }
        }

        /** Guards against an owner that rejects a key, or serves a withdrawn one, for a daemon that knows better. */
        @Test
        void declinesIfANewerConfigurationKnowsTheKeyOrItsAccountOtherwise() throws IOException {
            for (SessionFleet.Member member : members) {
                assertThat(openRelayed(member, 99, UNKNOWN_KEY, "beta")).isEqualTo("OUTDATED");
                assertThat(openRelayed(member, 99, KEY, "beta")).isEqualTo("OUTDATED");
                assertThat(openRelayed(member, 99, KEY, "alpha")).startsWith("READY I");
            }
        }

        @Test
        void decidesByItsOwnConfigurationIfThatIsAsNew() throws IOException {
            for (SessionFleet.Member member : members) {
                assertThat(openRelayed(member, 1, UNKNOWN_KEY, "alpha")).startsWith("ERROR NOAUTH");
                assertThat(openRelayed(member, 1, KEY, "beta")).startsWith("READY I");
            }
        }
    }

    @Nested
    class Secrecy {

        private final Logger logger = (Logger) LoggerFactory.getLogger("org.lavenderwick");
        private final ListAppender<ILoggingEvent> log = new ListAppender<>();

        @BeforeEach
        void recordLog() {
            log.start();
            logger.addAppender(log);
            logger.setLevel(Level.DEBUG);
        }

        @AfterEach
        void stopRecording() {
            logger.detachAppender(log);
            logger.setLevel(null);
        }

        /** Guards against a key on the network between daemons, which carries what callers sent in the clear. */
        @Test
        void keyAppearsInNoRelayedLine() throws Exception {
            try (ServerSocket owner = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
                // The failure domain comes first in the order, so the only owner is in it.
                fleet.store().put("lavenderwick/hosts/played", "z0\n127.0.0.1:" + owner.getLocalPort());
                Thread.sleep(1500);
                for (String database : List.of(SessionFleet.DATABASE, PUBLIC_DATABASE)) {
                    try (SessionClient client =
                            SessionClient.connect(members.get(0).address())) {
                        client.send("CONNECT " + database + " " + KEY);
                        assertThat(firstRelayedLine(owner))
                                .startsWith("CONNECT " + database + " - RELAY 1 " + SessionFleet.GROUP + " KEY ")
                                .contains(KeyFingerprint.ofKey(KEY).value())
                                .doesNotContain(KEY);
                        assertThat(client.answer().get(0)).startsWith("READY I");
                    }
                }
            }
        }

        /** Returns the first line of the next relayed session, and closes its connection. */
        private String firstRelayedLine(ServerSocket owner) throws IOException {
            while (true) {
                try (Socket connection = owner.accept()) {
                    String line = new BufferedReader(
                                    new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII))
                            .readLine();
                    // Daemons also subscribe to the feed of the played owner.
                    if (line != null && line.startsWith("CONNECT ")) {
                        return line;
                    }
                }
            }
        }

        /** Guards against a key in a place that more people can read than the configuration. */
        @Test
        void keyAppearsInNoLogLineAndAtNoEndpoint() throws Exception {
            for (int member = 0; member < members.size(); member++) {
                connect(members.get(member), SessionFleet.DATABASE, UNKNOWN_KEY);
                try (SessionClient client = open(member)) {
                    assertThat(succeeded(client.query("WRITE item 1"))).isTrue();
                }
            }
            try (SessionClient idle = open(0)) {
                withdrawKey();
                assertThat(idle.line()).isNull();
            }
            List<String> logLines =
                    log.list.stream().map(ILoggingEvent::getFormattedMessage).toList();
            assertThat(logLines)
                    .contains("[fleet] Configuration 2 withdraws the key " + KeyFingerprint.ofKey(KEY)
                            + " of account alpha.");
            assertThat(Stream.concat(logLines.stream(), fleet.database().receivedLines().stream()))
                    .noneMatch(line -> line.contains(KEY) || line.contains(UNKNOWN_KEY));
        }
    }
}
