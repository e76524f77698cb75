package org.lavenderwick.daemon;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lavenderwick.daemon.session.FeedProtocol;
import org.lavenderwick.platform.standin.OperatorStandin;
import org.lavenderwick.platform.standin.SessionClient;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lavenderwick.daemon.SessionFleet.await;

/** Tests daemons that pass changes of the store on to each other. */
class SessionFeedTest {

    private static final int DAEMONS = 5;

    private static final int LARGE_FLEET = 12;

    private static final int MAX_WATCHERS = 2;

    /** Daemons of a fleet in one failure domain that renew the lease of the term record themselves. */
    private static final int MAX_HEADS = 8;

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
    void atMostTwoDaemonsOfAFailureDomainWatchTheStore() throws Exception {
        startOneDomain();
        OperatorStandin.configure(fleet.store(), 2, "renamed", "primary", SessionFleet.GROUP, 1000);
        fleet.awaitSessionsAtAllDaemons("renamed");
        assertThat(fleet.store().waitingWatches()).isLessThanOrEqualTo(2);
    }

    @Test
    void changesReachAllDaemonsAfterDaemonsAreKilled() throws Exception {
        List<SessionFleet.Member> members = startOneDomain();
        for (int version = 2; version < DAEMONS; version++) {
            fleet.kill(members.remove(0));
            OperatorStandin.configure(fleet.store(), version, "v" + version, "primary", SessionFleet.GROUP, 1000);
            fleet.awaitSessionsAtAllDaemons("v" + version);
        }
    }

    /** Guards against a daemon that waits for its watcher or for the store while other daemons have the change. */
    @Test
    void changesReachDaemonsWhoseStoreCallsAreRefused() throws Exception {
        List<SessionFleet.Member> members = startOneDomain();
        for (int version = 2; version < DAEMONS; version++) {
            fleet.refuseStoreCalls(members.get(version - 2));
            assertConfigurationArrivesInTime(version);
        }
    }

    /** Guards against a cycle of daemons that subscribe to each other while none of them reads the store. */
    @Test
    void changesReachAllDaemonsWhenOnlyOneCanCallTheStore() throws Exception {
        List<SessionFleet.Member> members = startOneDomain();
        members.subList(1, DAEMONS).forEach(fleet::refuseStoreCalls);
        for (int version = 2; version < 2 + DAEMONS; version++) {
            assertConfigurationArrivesInTime(version);
        }
    }

    /** Guards against a daemon with the store that the others do not know, as it joined after they lost the store. */
    @Test
    void changesReachDaemonsThatLostTheStoreBeforeTheOnlyOneWithAccessJoined() throws Exception {
        List<SessionFleet.Member> members = startOneDomain();
        members.forEach(fleet::refuseStoreCalls);
        SessionFleet.Member joined =
                fleet.launchDaemon("z1", List.of(members.get(0).peerAddress()));
        SessionFleet.awaitService(joined);
        assertConfigurationArrivesInTime(2);
    }

    /** Guards against 'no such database' from a daemon that cannot know the newest configuration. */
    @Test
    void daemonThatMayLackAConfigurationDoesNotDenyItsDatabase() throws Exception {
        SessionFleet.Member member = fleet.startDaemon();
        assertThat(openingError(member, "added")).startsWith("ERROR NODB");
        fleet.refuseStoreCalls(member);
        OperatorStandin.configure(fleet.store(), 2, "added", "primary", SessionFleet.GROUP, 1000);
        Thread.sleep(SessionFleet.MAX_CONFIGURATION_DELAY.toMillis());
        assertThat(openingError(member, "added")).startsWith("ERROR BUSY");
        assertThat(SessionFleet.acceptsSessions(member, SessionFleet.DATABASE)).isTrue();
    }

    private static String openingError(SessionFleet.Member member, String database) throws IOException {
        try (SessionClient client = SessionClient.connect(member.address())) {
            client.send("CONNECT " + database + " me");
            return client.line();
        }
    }

    /** Guards against calls to the store that grow with the fleet, and against followers without evidence. */
    @Test
    void followersLetOthersConfirmTheirLeaseRenewals() throws Exception {
        for (int index = 0; index < LARGE_FLEET; index++) {
            fleet.launchDaemon("z1", List.of());
        }
        fleet.awaitServiceOfAll();
        await(() -> fleet.store().waitingWatches() <= MAX_WATCHERS);
        List<Integer> before = renewals();
        for (int round = 0; round < 10; round++) {
            for (SessionFleet.Member member : fleet.members()) {
                try (SessionClient client = SessionClient.open(member.address(), SessionFleet.DATABASE)) {
                    List<String> response = client.query("WRITE a " + round);
                    assertThat(SessionFleet.succeeded(response))
                            .as("response of %s: %s", member.address(), response)
                            .isTrue();
                }
            }
            Thread.sleep(300);
        }
        List<Integer> after = renewals();
        long withFewRenewals = IntStream.range(0, LARGE_FLEET)
                .filter(index -> after.get(index) - before.get(index) <= 5)
                .count();
        assertThat(withFewRenewals).isGreaterThanOrEqualTo(LARGE_FLEET - MAX_HEADS);
    }

    private List<Integer> renewals() {
        return fleet.members().stream()
                .map(member -> member.storeDoor().renewals())
                .toList();
    }

    @Test
    void daemonStartedWhileTheStoreIsDownReadsFromASeed() throws Exception {
        SessionFleet.Member first = fleet.startDaemon();
        fleet.store().down(true);
        SessionFleet.Member second = fleet.launchDaemon("z2", List.of(first.peerAddress()));
        await(() -> SessionFleet.acceptsSessions(second, SessionFleet.DATABASE));
        try (SessionClient probe = SessionClient.connect(second.readinessAddress())) {
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
        // A daemon that has not learned of any other one has no source but the store.
        for (SessionFleet.Member member : members) {
            await(() -> knownDaemons(member) == DAEMONS);
        }
        await(() -> fleet.store().waitingWatches() <= 2);
        return members;
    }

    /** Returns the number of daemons whose entries a daemon has read. */
    private static long knownDaemons(SessionFleet.Member member) throws IOException {
        try (SessionClient client = SessionClient.connect(member.peerAddress())) {
            client.send(FeedProtocol.formatSubscription(-1));
            long daemons = 0;
            String line = client.line();
            while (line != null && FeedProtocol.parseBatchEnd(line).isEmpty()) {
                daemons += line.contains("lavenderwick/hosts/") ? 1 : 0;
                line = client.line();
            }
            return daemons;
        }
    }

    /** Configures another database and asserts that all daemons accept sessions for it within the bound. */
    private void assertConfigurationArrivesInTime(int version) throws Exception {
        OperatorStandin.configure(fleet.store(), version, "v" + version, "primary", SessionFleet.GROUP, 1000);
        long startNanos = System.nanoTime();
        fleet.awaitSessionsAtAllDaemons("v" + version);
        assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isLessThan(SessionFleet.MAX_CONFIGURATION_DELAY);
    }
}
