package org.lavenderwick.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;

import org.lavenderwick.adapters.settings.SessionSettings;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.platform.standin.DatabaseStandin;
import org.lavenderwick.platform.standin.FreePorts;
import org.lavenderwick.platform.standin.OperatorStandin;
import org.lavenderwick.platform.standin.SessionClient;
import org.lavenderwick.platform.standin.StoreStandin;

import static org.assertj.core.api.Assertions.assertThat;

/** A fleet of session daemons and stand-ins of the platform in one process, connected by real sockets. */
final class SessionFleet implements AutoCloseable {

    static final String DATABASE = "orders";
    static final String GROUP = "db";

    /** The item that is written to check whether a daemon serves writes. */
    static final String PROBE_ITEM = "start";

    /** Timeout for expected events; a failover takes about four seconds. */
    private static final Duration PATIENCE = Duration.ofSeconds(20);

    static final int ENDPOINTS = 3;

    /** Time within which a configuration change must take effect. */
    static final Duration CHANGE_BOUND = Duration.ofSeconds(3);

    /** A daemon with its listen addresses. */
    record Member(
            SessionDaemon daemon,
            InetSocketAddress address,
            InetSocketAddress readiness,
            InetSocketAddress peers,
            StoreStandin.Door storeDoor) {}

    private final StoreStandin store;
    private final DatabaseStandin database;
    private final List<Member> members = new CopyOnWriteArrayList<>();
    private int started;

    SessionFleet() throws IOException {
        store = StoreStandin.start();
        database = DatabaseStandin.start(GROUP, ENDPOINTS, store);
    }

    /** Starts a fleet of one daemon and one database with read-your-writes consistency. */
    static SessionFleet ofOne() throws Exception {
        SessionFleet fleet = new SessionFleet();
        OperatorStandin.configure(fleet.store, 1, DATABASE, "read_your_writes", GROUP, 1000);
        fleet.startDaemon();
        return fleet;
    }

    /** Returns the running daemons, in the order in which they were started. */
    List<Member> members() {
        return List.copyOf(members);
    }

    /** Returns the running daemon that was started first. */
    Member first() {
        return members.get(0);
    }

    /** Returns a random running daemon. */
    Member any(Random random) {
        List<Member> running = List.copyOf(members);
        return running.get(random.nextInt(running.size()));
    }

    /** Stops a random daemon without a drain. */
    void killOne(Random random) {
        kill(any(random));
    }

    /** Stops a daemon without a drain. */
    void kill(Member member) {
        members.remove(member);
        member.daemon().close();
    }

    /** Makes the store refuse all calls of a daemon. */
    void refuse(Member member) {
        member.storeDoor().refuse(true);
    }

    /** Opens a session at the first running daemon. */
    SessionClient open() throws IOException {
        return SessionClient.open(first().address(), DATABASE);
    }

    StoreStandin store() {
        return store;
    }

    DatabaseStandin database() {
        return database;
    }

    /** Starts a daemon in its own failure domain and waits until it serves writes. */
    Member startDaemon() throws Exception {
        Member member = launchDaemon("z" + (started + 1), List.of());
        awaitService(member);
        return member;
    }

    /** Starts a daemon without waiting until it serves. */
    Member launchDaemon(String domain, List<InetSocketAddress> seeds) throws Exception {
        int number = ++started;
        InetSocketAddress address = FreePorts.next();
        InetSocketAddress readiness = FreePorts.next();
        InetSocketAddress peers = FreePorts.next();
        StoreStandin.Door door = store.openDoor();
        SessionDaemon daemon = SessionDaemon.start(new SessionSettings(
                DaemonName.of("d" + number),
                FailureDomain.of(domain),
                address,
                readiness,
                peers,
                seeds,
                door.address(),
                database.ordersAddress(),
                CHANGE_BOUND,
                Duration.ofSeconds(6)));
        Member member = new Member(daemon, address, readiness, peers, door);
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
        long end = System.nanoTime() + PATIENCE.toNanos();
        while (!condition.call()) {
            assertThat(System.nanoTime()).as("time is up").isLessThan(end);
            Thread.sleep(20);
        }
    }

    static boolean succeeded(List<String> answer) {
        return answer.stream().anyMatch(line -> line.startsWith("COMPLETE digest"));
    }

    /** Returns the number of statements containing the given text that ran, over all endpoints. */
    long runsOf(String text) {
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
