package org.lavenderwick.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;

import org.lavenderwick.adapters.settings.SessionSettings;
import org.lavenderwick.core.account.RateLimitBounds;
import org.lavenderwick.core.balancing.BalancingSettings;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.platform.standin.DatabaseStandin;
import org.lavenderwick.platform.standin.FreePorts;
import org.lavenderwick.platform.standin.OperatorStandin;
import org.lavenderwick.platform.standin.SessionClient;
import org.lavenderwick.platform.standin.StoreStandin;

import static org.assertj.core.api.Assertions.assertThat;

/** Runs daemons and stand-ins of the platform in one process over real sockets. */
final class SessionFleet implements AutoCloseable {

    static final String DATABASE = "orders";
    static final String GROUP = "db";

    /** Item that is written to check whether a daemon serves statements. */
    static final String PROBE_ITEM = "start";

    /** Time limit of {@link #await}; a failover takes about four seconds. */
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(20);

    static final int ENDPOINTS = 3;

    /** Connection limit of an endpoint: three are reserved for failovers, and one owner needs three. */
    private static final int CONNECTIONS_OF_ONE_OWNER = 6;

    private static final String CONFIGURATION_KEY = "op/config";

    /** Time until the operator and the endpoints write their entries again after the store has lost them. */
    private static final Duration REWRITE_DELAY = Duration.ofMillis(200);

    /** Time within which every daemon must apply a new configuration. */
    static final Duration MAX_CONFIGURATION_DELAY = Duration.ofSeconds(3);

    /** A daemon, the addresses that it listens on, and its connection point to the store. */
    record Member(
            SessionDaemon daemon,
            InetSocketAddress address,
            InetSocketAddress readinessAddress,
            InetSocketAddress peerAddress,
            StoreStandin.Door storeDoor) {}

    private final StoreStandin store;
    private final DatabaseStandin database;
    private final List<Member> members = new CopyOnWriteArrayList<>();
    private int startedDaemons;
    private Optional<RateLimitBounds> rateLimits = Optional.empty();

    SessionFleet() throws IOException {
        store = StoreStandin.start();
        database = DatabaseStandin.start(GROUP, ENDPOINTS, store);
    }

    /** Makes the daemons that are started from now on keep the rate limits of accounts. */
    void limitRates(RateLimitBounds bounds) {
        rateLimits = Optional.of(bounds);
    }

    /** Starts a fleet of one daemon and one database with read-your-writes consistency. */
    static SessionFleet withOneDaemon() throws Exception {
        SessionFleet fleet = new SessionFleet();
        OperatorStandin.configure(fleet.store, 1, DATABASE, "read_your_writes", GROUP, 1000);
        fleet.startDaemon();
        return fleet;
    }

    /**
     * Starts a fleet of two daemons whose endpoints allow connections for one owner only, so the other daemon relays.
     *
     * @param timeoutMillis the timeout of statements
     */
    static SessionFleet withRelayingDaemon(int timeoutMillis) throws Exception {
        SessionFleet fleet = new SessionFleet();
        fleet.configureOneOwner(1, timeoutMillis);
        fleet.startDaemon();
        fleet.startDaemon();
        // Gives the daemons time to discover each other, after which one of them relays.
        Thread.sleep(1500);
        return fleet;
    }

    /** Writes a configuration whose connection limit suffices for one owner. */
    void configureOneOwner(int version, int timeoutMillis) {
        OperatorStandin.configure(store, version, DATABASE, "primary", GROUP, timeoutMillis, CONNECTIONS_OF_ONE_OWNER);
    }

    /** Returns the running daemons. */
    List<Member> members() {
        return List.copyOf(members);
    }

    /** Returns the running daemon that was started first. */
    Member firstMember() {
        return members.get(0);
    }

    /** Returns a running daemon chosen at random. */
    Member randomMember(Random random) {
        List<Member> running = List.copyOf(members);
        return running.get(random.nextInt(running.size()));
    }

    /** Closes a running daemon chosen at random, without draining it. */
    void killRandomMember(Random random) {
        kill(randomMember(random));
    }

    /** Closes a daemon without draining it. */
    void kill(Member member) {
        members.remove(member);
        member.daemon().close();
    }

    /** Brings the store back from its copy, and writes again what the operator and the endpoints wrote last. */
    void restoreStore() throws InterruptedException {
        String configuration = store.text(CONFIGURATION_KEY);
        store.restore();
        store.down(false);
        Thread.sleep(REWRITE_DELAY.toMillis());
        store.put(CONFIGURATION_KEY, configuration);
        for (int index = 1; index <= ENDPOINTS; index++) {
            if (!database.endpoint(GROUP + "-" + index).isDead()) {
                database.endpoint(GROUP + "-" + index).register();
            }
        }
    }

    /** Makes the store refuse all calls of a daemon. */
    void refuseStoreCalls(Member member) {
        member.storeDoor().refuse(true);
    }

    /** Opens a session at the first daemon. */
    SessionClient openSession() throws IOException {
        return SessionClient.open(firstMember().address(), DATABASE);
    }

    StoreStandin store() {
        return store;
    }

    DatabaseStandin database() {
        return database;
    }

    /** Starts a daemon in a failure domain of its own and waits until it serves writes. */
    Member startDaemon() throws Exception {
        Member member = launchDaemon("z" + (startedDaemons + 1), List.of());
        awaitService(member);
        return member;
    }

    /** Starts a daemon without waiting until it serves. */
    Member launchDaemon(String failureDomain, List<InetSocketAddress> seeds) throws Exception {
        int number = ++startedDaemons;
        InetSocketAddress address = FreePorts.next();
        InetSocketAddress readinessAddress = FreePorts.next();
        InetSocketAddress peerAddress = FreePorts.next();
        StoreStandin.Door door = store.openDoor();
        SessionDaemon daemon = SessionDaemon.start(new SessionSettings(
                DaemonName.of("d" + number),
                FailureDomain.of(failureDomain),
                address,
                readinessAddress,
                peerAddress,
                seeds,
                door.address(),
                database.ordersAddress(),
                MAX_CONFIGURATION_DELAY,
                Duration.ofSeconds(6),
                rateLimits,
                BalancingSettings.STATIC));
        Member member = new Member(daemon, address, readinessAddress, peerAddress, door);
        members.add(member);
        return member;
    }

    /** Waits until every daemon serves writes. */
    void awaitServiceOfAll() throws Exception {
        for (Member member : members) {
            awaitService(member);
        }
    }

    static void awaitService(Member member) throws Exception {
        await(() -> {
            try (SessionClient client = SessionClient.open(member.address(), DATABASE)) {
                return succeeded(client.query("WRITE " + PROBE_ITEM + " 1"));
            }
        });
    }

    static void await(Callable<Boolean> condition) throws Exception {
        long deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
        while (!condition.call()) {
            assertThat(System.nanoTime()).as("condition was not met in time").isLessThan(deadlineNanos);
            Thread.sleep(20);
        }
    }

    void awaitSessionsAtAllDaemons(String databaseName) throws Exception {
        for (Member member : members) {
            await(() -> acceptsSessions(member, databaseName));
        }
    }

    /** Returns whether a daemon opens a session on a database. */
    static boolean acceptsSessions(Member member, String databaseName) throws IOException {
        try (SessionClient client = SessionClient.connect(member.address())) {
            client.send("CONNECT " + databaseName + " me");
            return client.answer().get(0).startsWith("READY I");
        }
    }

    static boolean succeeded(List<String> response) {
        return response.stream().anyMatch(line -> line.startsWith("COMPLETE digest"));
    }

    /** Returns how many statements with this text in them ran at all endpoints together. */
    long runCount(String text) {
        return IntStream.rangeClosed(1, ENDPOINTS)
                .mapToObj(index -> database.endpoint(GROUP + "-" + index).ran())
                .flatMap(List::stream)
                .filter(run -> run.contains(text))
                .count();
    }

    @Override
    public void close() {
        members.forEach(member -> {
            member.daemon().close();
            member.storeDoor().close();
        });
        database.close();
        store.close();
    }
}
