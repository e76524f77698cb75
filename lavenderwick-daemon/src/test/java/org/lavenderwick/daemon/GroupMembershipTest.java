package org.lavenderwick.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.failover.FailoverTimings;
import org.lavenderwick.platform.standin.DatabaseStandin;
import org.lavenderwick.platform.standin.OperatorStandin;
import org.lavenderwick.platform.standin.SessionClient;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lavenderwick.daemon.SessionFleet.await;
import static org.lavenderwick.daemon.SessionFleet.succeeded;

/**
 * Guards against a daemon that proves a replaced primary because it does not count the endpoint that was promoted. The
 * daemon loses the store, and with it every other daemon, while it still reaches the primary {@code db-1}; another
 * daemon, which knows only the replicas, then replaces the primary.
 */
class GroupMembershipTest {

    /** More than the age that a connection needs for evidence. */
    private static final Duration EVIDENCE_DELAY =
            FailoverTimings.DEFAULTS.minConnectionAge().plusSeconds(1);

    private SessionFleet fleet;
    private DatabaseStandin database;
    private SessionFleet.Member isolated;
    private final List<String> acknowledged = new ArrayList<>();

    @BeforeEach
    void start() throws Exception {
        fleet = new SessionFleet();
        database = fleet.database();
        OperatorStandin.configure(fleet.store(), 1, SessionFleet.DATABASE, "primary", SessionFleet.GROUP, 1000);
        isolated = fleet.startDaemon();
        Thread.sleep(EVIDENCE_DELAY.toMillis());
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    /** Cuts the daemon off from the store and removes its entry, so that no other daemon offers it a feed. */
    private void isolate() {
        fleet.refuseStoreCalls(isolated);
        fleet.store().remove("lavenderwick/hosts/d1");
    }

    /** Loses an endpoint and its registration. */
    private void lose(String endpoint) {
        database.endpoint(endpoint).kill();
        fleet.store().remove("servers/" + endpoint);
    }

    /** Writes through the isolated daemon; returns whether it acknowledged the write. */
    private boolean write(String value) throws Exception {
        try (SessionClient client = SessionClient.open(isolated.address(), SessionFleet.DATABASE)) {
            boolean success = succeeded(client.query("WRITE item " + value));
            if (success) {
                acknowledged.add(value);
            }
            return success;
        }
    }

    private void writeUntilPromoted() throws Exception {
        long deadlineNanos = System.nanoTime() + Duration.ofSeconds(40).toNanos();
        for (int number = 0; database.promotions().isEmpty(); number++) {
            assertThat(System.nanoTime()).as("no endpoint was promoted").isLessThan(deadlineNanos);
            write("before-" + number);
        }
        for (int number = 0; number < 30; number++) {
            write("after-" + number);
            Thread.sleep(50);
        }
    }

    /** Guards against reports of the primary alone that count as unanimous (review case 1). */
    @Test
    void membersAreNotForgottenWhileTheStoreIsOutOfReach() throws Exception {
        lose("db-2");
        lose("db-3");
        Thread.sleep(500);
        isolate();
        fleet.store().remove("servers/db-1");
        Thread.sleep(3000);
        database.endpoint("db-2").restart();
        database.endpoint("db-3").restart();
        fleet.launchDaemon("z2", List.of());
        writeUntilPromoted();
        assertThat(acknowledged).noneMatch(database.lateValues()::contains);
    }

    /** Guards against the promotion of an endpoint that joined after a daemon had lost the store. */
    @Test
    void endpointThatJoinsIsPromotedOnceNoDaemonCanProveTheOldPrimary() throws Exception {
        isolate();
        fleet.store().remove("servers/db-1");
        fleet.store().remove("servers/db-2");
        fleet.store().remove("servers/db-3");
        database.addReplica("db-4");
        fleet.launchDaemon("z2", List.of());
        writeUntilPromoted();
        assertThat(database.promotions()).containsOnly("db-4");
        assertThat(acknowledged).noneMatch(database.lateValues()::contains);
    }

    /** Guards against a safeguard that refuses what can be served. */
    @Nested
    class Service {

        @Test
        void continuesWithoutTheStoreWhileAllMembersRespond() throws Exception {
            isolate();
            Thread.sleep(3000);
            await(() -> write("during"));
        }

        /** Guards against members that expire at a daemon that others keep in touch with the store. */
        @Test
        void continuesAtADaemonThatTheStoreRefusesForLong() throws Exception {
            fleet.startDaemon();
            fleet.refuseStoreCalls(isolated);
            Thread.sleep(
                    FailoverTimings.DEFAULTS.membershipMaxAge().plusSeconds(4).toMillis());
            for (int number = 0; number < 20; number++) {
                assertThat(write("refused-" + number)).isTrue();
                Thread.sleep(100);
            }
        }

        @Test
        void continuesAtThePrimaryAloneWhileTheStoreIsInReach() throws Exception {
            lose("db-2");
            lose("db-3");
            Thread.sleep(4000);
            assertThat(write("alone")).isTrue();
        }

        /** Guards against a restart of the daemon without the store that leaves it without a proven primary. */
        @Test
        void isTakenUpByADaemonThatStartsWithoutTheStore() throws Exception {
            SessionFleet.Member other = fleet.startDaemon();
            await(() -> fleet.store().text("lavenderwick/hosts/d2") != null);
            fleet.store().down(true);
            SessionFleet.Member fresh = fleet.launchDaemon("z3", List.of(other.peerAddress()));
            SessionFleet.awaitService(fresh);
        }
    }
}
