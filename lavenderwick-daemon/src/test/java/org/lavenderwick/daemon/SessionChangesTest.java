package org.lavenderwick.daemon;

import java.io.IOException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.platform.standin.DatabaseStandin;
import org.lavenderwick.platform.standin.OperatorStandin;
import org.lavenderwick.platform.standin.SessionClient;
import org.lavenderwick.platform.standin.StoreStandin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lavenderwick.daemon.SessionFleet.await;
import static org.lavenderwick.daemon.SessionFleet.succeeded;

/** Tests a daemon while its configuration, its endpoints or the store change, and while it stops. */
class SessionChangesTest {

    private SessionFleet fleet;
    private SessionFleet.Member member;
    private StoreStandin store;
    private DatabaseStandin database;

    @BeforeEach
    void start() throws Exception {
        fleet = SessionFleet.withOneDaemon();
        member = fleet.firstMember();
        store = fleet.store();
        database = fleet.database();
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Nested
    class FleetChanges {

        @Test
        void newConfigurationReplacesThePreviousOne() throws Exception {
            OperatorStandin.configure(store, 2, "renamed", "primary", "db", 1000);
            await(() -> {
                try (SessionClient client = SessionClient.connect(member.address())) {
                    client.send("CONNECT renamed me");
                    return client.answer().get(0).startsWith("READY I");
                }
            });
            try (SessionClient client = SessionClient.connect(member.address())) {
                client.send("CONNECT orders me");
                assertThat(client.answer().get(0)).startsWith("ERROR NODB");
            }
        }

        @Test
        void configurationMissedByAllWatchesIsStillApplied() throws Exception {
            store.deafWatches(true);
            OperatorStandin.configure(store, 2, "renamed", "primary", "db", 1000);
            store.deafWatches(false);
            await(() -> {
                try (SessionClient client = SessionClient.connect(member.address())) {
                    client.send("CONNECT renamed me");
                    return client.answer().get(0).startsWith("READY I");
                }
            });
        }

        @Test
        void drainingEndpointReceivesNoNewStatements() throws Exception {
            database.endpoint("db-2").drain();
            database.endpoint("db-3").drain();
            await(() -> readsAtDrainingEndpoints() == 0);
            assertThat(readsAtDrainingEndpoints()).isZero();
        }

        /** Sends a number of reads and returns how many of them ran at the draining endpoints. */
        private int readsAtDrainingEndpoints() throws IOException {
            int before = runCountAtDrainingEndpoints();
            try (SessionClient client = fleet.openSession()) {
                for (int index = 0; index < 20; index++) {
                    assertThat(succeeded(client.query("READ start"))).isTrue();
                }
            }
            return runCountAtDrainingEndpoints() - before;
        }

        private int runCountAtDrainingEndpoints() {
            return database.endpoint("db-2").ran().size()
                    + database.endpoint("db-3").ran().size();
        }

        @Test
        void crashedPrimaryIsReplaced() throws Exception {
            try (SessionClient client = fleet.openSession()) {
                client.query("WRITE kept 1");
                database.endpoint("db-1").kill();
                await(() -> succeeded(client.query("WRITE later 1")));
                assertThat(client.query("READ kept").get(0)).isEqualTo("ROW 1");
            }
            assertThat(database.promotions()).hasSize(1);
            assertThat(database.fences()).doesNotContain(0L);
            await(() -> store.text("lavenderwick/audit/db") != null);
            assertThat(store.text("lavenderwick/audit/db"))
                    .contains("d1\tdb-1\t" + database.promotions().get(0));
        }

        @Test
        void unresponsivePrimaryIsReplaced() throws Exception {
            try (SessionClient client = fleet.openSession()) {
                database.endpoint("db-1").silent(true);
                await(() -> succeeded(client.query("WRITE later 1")));
            }
            assertThat(database.promotions()).hasSize(1);
        }

        @Test
        void drainingPrimaryIsReplacedWithoutLosingWrites() throws Exception {
            try (SessionClient client = fleet.openSession()) {
                client.query("WRITE kept 1");
                database.endpoint("db-1").drain();
                await(() -> !database.promotions().isEmpty());
                await(() -> succeeded(client.query("WRITE later 1")));
                assertThat(client.query("READ kept").get(0)).isEqualTo("ROW 1");
            }
        }

        @Test
        void readsContinueWhileTheStoreIsDown() throws Exception {
            try (SessionClient client = fleet.openSession()) {
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
    class Shutdown {

        @Test
        void stoppingDaemonReportsNotReadyAndClosesIdleSessions() throws Exception {
            try (SessionClient probe = SessionClient.connect(member.readinessAddress());
                    SessionClient client = fleet.openSession()) {
                Thread stopping = new Thread(() -> {
                    try {
                        member.daemon().stop();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
                stopping.start();
                Thread.sleep(100);
                assertThat(probe.askReady()).startsWith("HTTP/1.1 503");
                assertThat(succeeded(client.query("READ start"))).isTrue();
                assertThat(client.answer()).containsExactly("closed");
                stopping.join();
            }
        }
    }
}
