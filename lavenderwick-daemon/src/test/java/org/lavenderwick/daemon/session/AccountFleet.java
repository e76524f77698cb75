package org.lavenderwick.daemon.session;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;

import org.lavenderwick.core.account.AccountDirectory;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.account.ClientAccount;
import org.lavenderwick.core.account.KeyFingerprint;
import org.lavenderwick.core.balancing.BalancingSettings;
import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.catalog.DatabaseRoute;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.catalog.EndpointRole;
import org.lavenderwick.core.catalog.ReadConsistency;
import org.lavenderwick.core.failover.ProvenPrimary;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.propagation.ContentStatus;
import org.lavenderwick.core.time.MonotonicClock;
import org.lavenderwick.platform.LineCallerCodec;
import org.lavenderwick.platform.LineEndpointCodec;
import org.lavenderwick.platform.standin.DatabaseStandin;
import org.lavenderwick.platform.standin.FreePorts;
import org.lavenderwick.platform.standin.SessionClient;
import org.lavenderwick.platform.standin.StoreStandin;

/** Proxies that serve sessions over real sockets, with snapshots of the fleet that a test gives to each of them. */
final class AccountFleet implements AutoCloseable {

    static final String DATABASE = "orders";
    static final GroupName GROUP = GroupName.of("db");
    private static final int ENDPOINTS = 3;
    private static final int SLOTS = 6;

    /** Interval at which the primary is proven anew. */
    private static final Duration PROOF_INTERVAL = Duration.ofMillis(200);

    /** One daemon: its addresses stay the same when it restarts. */
    private final class Proxy {
        private final DaemonName name;
        private final Peer peer;
        private final InetSocketAddress callerAddress = FreePorts.next();
        private EventLoop loop;
        private SessionProxy proxy;
        private FleetSnapshot snapshot = FleetSnapshot.EMPTY;
        private Thread thread;

        Proxy(int number) throws IOException {
            name = DaemonName.of("d" + number);
            peer = new Peer(FailureDomain.of("z" + number), FreePorts.next());
        }

        void start() throws IOException {
            loop = EventLoop.open(clock);
            Instant start = Instant.now();
            Duration startedAt = clock.now();
            proxy = new SessionProxy(
                    loop,
                    new LineCallerCodec(),
                    new LineEndpointCodec(),
                    name,
                    peer.failureDomain(),
                    new Random(1),
                    ClockJumpDetector.create(clock, () -> start.plus(clock.now().minus(startedAt))),
                    Duration.ofSeconds(5),
                    Optional.empty(),
                    BalancingSettings.STATIC);
            proxy.describeContentWith(() -> new ContentStatus(1, clock.now(), "the test"));
            Acceptor.acceptSessions(loop, callerAddress, proxy);
            Acceptor.acceptPeers(loop, peer.address(), proxy);
            thread = new Thread(loop, "traffic " + name.value());
            thread.setDaemon(true);
            thread.start();
        }

        void stop() throws InterruptedException {
            loop.stop();
            thread.join();
        }

        void apply() {
            proxy.applySnapshot(snapshot.withEvidence(
                    Map.of(GROUP, new ProvenPrimary(EndpointName.of("db-1"), 1, clock.now())), Map.of()));
        }
    }

    private final MonotonicClock clock = () -> Duration.ofNanos(System.nanoTime());
    private final StoreStandin store;
    private final DatabaseStandin database;
    private final List<Proxy> proxies = new ArrayList<>();
    private Catalog catalog;
    private final Map<EndpointName, EndpointEntry> endpoints = new HashMap<>();
    private final Thread prover = new Thread(this::prove, "proofs of the primary");

    AccountFleet(int daemons, int accounts, int maxConnections) throws IOException {
        store = StoreStandin.start();
        database = DatabaseStandin.start(GROUP.value(), ENDPOINTS, store);
        DatabaseRoute route = new DatabaseRoute(
                DATABASE,
                GROUP,
                ReadConsistency.PRIMARY,
                Duration.ZERO,
                Duration.ofSeconds(10),
                Duration.ofSeconds(5),
                0,
                false);
        DatabaseRoute open = new DatabaseRoute(
                "open",
                GROUP,
                ReadConsistency.PRIMARY,
                Duration.ZERO,
                Duration.ofSeconds(10),
                Duration.ofSeconds(5),
                0,
                true);
        catalog = new Catalog(
                1,
                Map.of(DATABASE, route, "open", open),
                Map.of(GROUP, maxConnections),
                Duration.ofMinutes(1),
                AccountDirectory.of(IntStream.range(0, accounts)
                        .mapToObj(number -> new ClientAccount(
                                AccountName.of("account-" + number),
                                0,
                                Optional.empty(),
                                Set.of(KeyFingerprint.ofKey("key-" + number))))
                        .toList()));
        for (int number = 1; number <= ENDPOINTS; number++) {
            EndpointName name = EndpointName.of(GROUP.value() + "-" + number);
            endpoints.put(
                    name,
                    new EndpointEntry(
                            name,
                            GROUP,
                            database.endpoint(name.value()).address(),
                            FailureDomain.of("z1"),
                            SLOTS,
                            false,
                            number == 1 ? EndpointRole.PRIMARY : EndpointRole.REPLICA));
        }
        for (int number = 1; number <= daemons; number++) {
            Proxy proxy = new Proxy(number);
            proxy.start();
            proxies.add(proxy);
        }
        prover.setDaemon(true);
        prover.start();
    }

    private void prove() {
        try {
            while (true) {
                synchronized (this) {
                    proxies.forEach(Proxy::apply);
                }
                Thread.sleep(PROOF_INTERVAL.toMillis());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Makes a daemon know the given daemons, which are numbered from 1. */
    synchronized void know(int daemon, int... live) {
        Map<DaemonName, Peer> peers = new TreeMap<>();
        for (int number : live) {
            peers.put(proxies.get(number - 1).name, proxies.get(number - 1).peer);
        }
        Proxy proxy = proxies.get(daemon - 1);
        proxy.snapshot = FleetSnapshot.update(proxy.snapshot, Optional.of(catalog), endpoints, peers);
        proxy.apply();
    }

    /** Puts a configuration without accounts in force at a daemon that is the only one. */
    synchronized void removeAccounts() {
        catalog = new Catalog(
                2,
                catalog.databases(),
                catalog.maxConnections(),
                catalog.transactionIdleTimeout(),
                AccountDirectory.EMPTY);
        know(1, 1);
    }

    /** Ends all daemons at the same time, and starts them with the same content. */
    synchronized void restartAll() throws Exception {
        for (Proxy proxy : proxies) {
            proxy.stop();
        }
        // The endpoints notice that the processes have ended.
        await(() -> endpointConnections() == 0);
        for (Proxy proxy : proxies) {
            proxy.start();
            proxy.apply();
        }
    }

    static void await(Callable<Boolean> condition) throws Exception {
        long deadlineNanos = System.nanoTime() + Duration.ofSeconds(30).toNanos();
        while (!condition.call()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("condition was not met in time");
            }
            Thread.sleep(20);
        }
    }

    /** Opens a session at a daemon. */
    SessionClient open(int daemon, String databaseName, String key) throws IOException {
        SessionClient client = SessionClient.connect(proxies.get(daemon - 1).callerAddress);
        client.send("CONNECT " + databaseName + " " + key);
        client.answer();
        return client;
    }

    DatabaseStandin database() {
        return database;
    }

    /** Returns the highest number of connections that any endpoint had at the same time. */
    int peakConnections() {
        return endpoints.keySet().stream()
                .mapToInt(name -> database.endpoint(name.value()).peakConnections())
                .max()
                .orElseThrow();
    }

    /** Returns the number of open connections to the primary. */
    int primaryConnections() {
        return database.endpoint("db-1").openConnections();
    }

    private int endpointConnections() {
        return endpoints.keySet().stream()
                .mapToInt(name -> database.endpoint(name.value()).openConnections())
                .sum();
    }

    @Override
    public void close() throws InterruptedException {
        prover.interrupt();
        for (Proxy proxy : proxies) {
            proxy.stop();
        }
        database.close();
        store.close();
    }
}
