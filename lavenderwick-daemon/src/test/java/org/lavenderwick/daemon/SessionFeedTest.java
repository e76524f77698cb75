package org.lavenderwick.daemon;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderwick.platform.standin.OperatorStandin;
import org.lavenderwick.platform.standin.SessionClient;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lavenderwick.daemon.SessionFleet.await;

/** Tests the feed by which daemons receive store changes from each other. */
class SessionFeedTest {

    private static final int DAEMONS = 5;

    private SessionFleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new SessionFleet();
        OperatorStandin.configure(
                fleet.store(), 1, SessionFleet.DATABASE, "read_your_writes", SessionFleet.GROUP, 1000);
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void fewDaemonsOfAFailureDomainWatchTheStore() throws Exception {
        startOneDomain();
        OperatorStandin.configure(fleet.store(), 2, "renamed", "primary", SessionFleet.GROUP, 1000);
        awaitDatabase("renamed");
        assertThat(fleet.store().waitingWatches()).isLessThanOrEqualTo(2);
    }

    @Test
    void changesArriveAfterTheWatchersAreLost() throws Exception {
        List<SessionFleet.Member> members = startOneDomain();
        for (int version = 2; version < DAEMONS; version++) {
            fleet.kill(members.remove(0));
            OperatorStandin.configure(fleet.store(), version, "v" + version, "primary", SessionFleet.GROUP, 1000);
            awaitDatabase("v" + version);
        }
    }

    /** Guards against a daemon that waits for its watcher or for the store although other daemons have the changes. */
    @Test
    void changesReachDaemonsThatTheStoreRefuses() throws Exception {
        List<SessionFleet.Member> members = startOneDomain();
        for (int version = 2; version < DAEMONS; version++) {
            fleet.refuse(members.get(version - 2));
            configureInTime(version);
        }
    }

    /** Guards against a cycle of daemons that subscribe to each other while none of them watches the store. */
    @Test
    void changesReachAllWhenTheStoreAnswersOneDaemonOnly() throws Exception {
        List<SessionFleet.Member> members = startOneDomain();
        members.subList(1, DAEMONS).forEach(fleet::refuse);
        for (int version = 2; version < 2 + DAEMONS; version++) {
            configureInTime(version);
        }
    }

    @Test
    void daemonThatStartsWithoutTheStoreLearnsFromASeed() throws Exception {
        SessionFleet.Member first = fleet.startDaemon();
        fleet.store().down(true);
        SessionFleet.Member second = fleet.launchDaemon("z2", List.of(first.peers()));
        await(() -> accepts(second, SessionFleet.DATABASE));
        try (SessionClient probe = SessionClient.connect(second.readiness())) {
            assertThat(probe.askReady()).startsWith("HTTP/1.1 200");
        }
    }

    /** Starts daemons in one failure domain and waits until at most two of them watch the store. */
    private List<SessionFleet.Member> startOneDomain() throws Exception {
        List<SessionFleet.Member> members = new ArrayList<>();
        for (int index = 0; index < DAEMONS; index++) {
            members.add(fleet.launchDaemon("z1", List.of()));
        }
        fleet.awaitServiceOfAll();
        await(() -> fleet.store().waitingWatches() <= 2);
        return members;
    }

    /** Configures another database and asserts that all daemons accept it within the allowed time. */
    private void configureInTime(int version) throws Exception {
        OperatorStandin.configure(fleet.store(), version, "v" + version, "primary", SessionFleet.GROUP, 1000);
        long begun = System.nanoTime();
        awaitDatabase("v" + version);
        assertThat(Duration.ofNanos(System.nanoTime() - begun)).isLessThan(SessionFleet.CHANGE_BOUND);
    }

    private void awaitDatabase(String database) throws Exception {
        for (SessionFleet.Member member : fleet.members()) {
            await(() -> accepts(member, database));
        }
    }

    private static boolean accepts(SessionFleet.Member member, String database) throws IOException {
        try (SessionClient client = SessionClient.connect(member.address())) {
            client.send("CONNECT " + database + " me");
            return client.answer().get(0).startsWith("READY I");
        }
    }
}
