package org.lavenderwick.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
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

/** Two daemons before endpoints whose connections suffice for one owner. */
class SessionRelayTest {

    private static final Duration PATIENCE = Duration.ofSeconds(20);

    /** Three are left to failovers, and an owner needs three. */
    private static final int CONNECTIONS = 6;

    private StoreStandin store;
    private DatabaseStandin database;
    private final List<SessionDaemon> daemons = new ArrayList<>();
    private final List<InetSocketAddress> addresses = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        store = StoreStandin.start();
        database = DatabaseStandin.start("db", 3, store);
        OperatorStandin.configure(store, 1, "orders", "primary", "db", 1000, CONNECTIONS);
        for (int index = 1; index <= 2; index++) {
            InetSocketAddress address = freeAddress();
            addresses.add(address);
            daemons.add(SessionDaemon.start(new SessionSettings(
                    DaemonName.of("d" + index),
                    FailureDomain.of("z" + index),
                    address,
                    freeAddress(),
                    freeAddress(),
                    store.address(),
                    database.ordersAddress(),
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(6))));
        }
        for (InetSocketAddress address : addresses) {
            await(address);
        }
        // Both daemons have found each other by then, so one of them relays.
        Thread.sleep(1500);
    }

    @AfterEach
    void stop() {
        daemons.forEach(SessionDaemon::close);
        database.close();
        store.close();
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }

    private static void await(InetSocketAddress address) throws Exception {
        long end = System.nanoTime() + PATIENCE.toNanos();
        while (true) {
            assertThat(System.nanoTime()).as("time is up").isLessThan(end);
            try (SessionClient client = SessionClient.open(address, "orders")) {
                if (succeeded(client.query("WRITE start 1"))) {
                    return;
                }
            }
            Thread.sleep(20);
        }
    }

    private static boolean succeeded(List<String> answer) {
        return answer.stream().anyMatch(line -> line.startsWith("COMPLETE digest"));
    }

    @Test
    void sessionsAreServedThroughEitherDaemon() throws IOException {
        for (InetSocketAddress address : addresses) {
            try (SessionClient client = SessionClient.open(address, "orders")) {
                assertThat(client.query("SET zone a").get(0)).isEqualTo("COMPLETE -");
                client.query("PARSE s WRITE x");
                assertThat(succeeded(client.query("EXECUTE s item " + address.getPort())))
                        .isTrue();
                client.query("BEGIN");
                assertThat(client.query("READ item").get(0)).isEqualTo("ROW " + address.getPort());
                assertThat(succeeded(client.query("COMMIT"))).isTrue();
            }
        }
    }

    @Test
    void refusalsAndBadInputAreAnsweredThroughEitherDaemon() throws IOException {
        for (InetSocketAddress address : addresses) {
            try (SessionClient client = SessionClient.connect(address)) {
                client.send("CONNECT nothing me");
                assertThat(client.answer().get(0)).startsWith("ERROR NODB");
            }
            try (SessionClient client = SessionClient.open(address, "orders")) {
                client.send("NONSENSE");
                assertThat(client.answer().get(0)).startsWith("ERROR MALFORMED");
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void sessionsGoOnThroughTheOtherDaemonWhenOneDies(int survivor) throws Exception {
        daemons.get(1 - survivor).close();
        await(addresses.get(survivor));
    }
}
