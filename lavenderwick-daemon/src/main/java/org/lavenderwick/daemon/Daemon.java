package org.lavenderwick.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;

import com.google.common.net.InetAddresses;
import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.audit.AuditLog;
import org.lavenderwick.adapters.caller.CallerServer;
import org.lavenderwick.adapters.endpoint.EndpointPort;
import org.lavenderwick.adapters.endpoint.HttpEndpointPort;
import org.lavenderwick.adapters.operator.OperatorHandler;
import org.lavenderwick.adapters.operator.OperatorServer;
import org.lavenderwick.adapters.platform.HttpPlatformPort;
import org.lavenderwick.adapters.platform.PlatformPort;
import org.lavenderwick.adapters.settings.Addresses;
import org.lavenderwick.adapters.settings.DaemonSettings;
import org.lavenderwick.core.configuration.ConfigurationHolder;
import org.lavenderwick.core.drain.Drain;
import org.lavenderwick.core.drain.DrainState;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.membership.SeatTableHolder;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.time.TokenBucket;
import org.lavenderwick.daemon.control.ControlContext;
import org.lavenderwick.daemon.control.ControlParts;
import org.lavenderwick.daemon.control.ControlPlane;
import org.lavenderwick.daemon.control.GroupStarter;
import org.lavenderwick.daemon.entry.OwnerRelay;
import org.lavenderwick.daemon.entry.RelayReceiver;
import org.lavenderwick.daemon.entry.RequestRouter;
import org.lavenderwick.daemon.entry.Self;
import org.lavenderwick.daemon.entry.SessionTokenCodecCache;
import org.lavenderwick.daemon.group.EventLoop;
import org.lavenderwick.daemon.group.GroupEnvironment;
import org.lavenderwick.daemon.group.GroupRecords;
import org.lavenderwick.daemon.group.GroupReport;
import org.lavenderwick.daemon.peer.PeerClient;
import org.lavenderwick.daemon.peer.PeerHandler;
import org.lavenderwick.daemon.peer.PeerHealth;
import org.lavenderwick.daemon.peer.PeerServer;
import org.lavenderwick.protocol.ExchangeRequest;
import org.lavenderwick.protocol.ExchangeResponse;
import org.lavenderwick.protocol.RelayRequest;
import org.lavenderwick.protocol.RelayResponse;

/**
 * A daemon with its servers, threads and control plane. Several daemons can run in one process, as in tests and
 * demonstrations. Thread-safe.
 */
public final class Daemon implements AutoCloseable {
    /** Maximum burst of platform calls, as needed for a failover of all owned groups. */
    private static final int PLATFORM_BURST = 100;

    /** Sustained rate limit of platform calls, per second. */
    private static final double PLATFORM_CALLS_PER_SECOND = 20;

    /** Timeout for reading the state of the control plane for a status or a metrics scrape. */
    private static final long STATE_TIMEOUT_SECONDS = 2;

    private static final Logger LOG = Logger.getLogger(Daemon.class);

    private final DaemonSettings settings;
    private final DaemonOptions options;
    private final Self self;
    private final DaemonThreads threads;
    private final ConfigurationHolder configuration = ConfigurationHolder.create();
    private final SeatTableHolder seats = new SeatTableHolder();
    private final DaemonMetrics metrics = new DaemonMetrics();
    private final Drain drain;
    private final PlatformPort platform;
    private final EndpointPort endpointPort;
    private final PeerClient peers;
    private final PeerServer peerServer;
    private final ControlPlane control;
    private final RelayReceiver relayReceiver;
    private final CallerServer callerServer;
    private final OperatorServer operatorServer;
    private final AtomicReference<CompletableFuture<DrainState>> drainResult = new AtomicReference<>();

    private Daemon(DaemonSettings settings, DaemonOptions options) throws Exception {
        this.options = options;
        this.settings = settings;
        this.self = new Self(settings.daemon(), System.currentTimeMillis());
        this.threads = DaemonThreads.start(settings.trafficThreads());
        this.drain = Drain.create(settings.timeouts().drain());
        this.platform = HttpPlatformPort.create(
                settings.platformAddress(),
                settings.address(),
                settings.timeouts().platform(),
                TokenBucket.of(PLATFORM_BURST, PLATFORM_CALLS_PER_SECOND, threads.clock()));
        this.endpointPort = HttpEndpointPort.create(settings.address());
        this.peers = PeerClient.create(InetAddresses.forString(settings.address()), threads.timer());
        DeferredPeerHandler peerHandler = new DeferredPeerHandler();
        this.peerServer = PeerServer.start(listenAddress(settings.peerPort()), peerHandler);
        this.control = createControlPlane();
        this.relayReceiver = new RelayReceiver(control.groups(), drain, threads.clock(), threads.responseExecutor());
        peerHandler.setDelegate(new PeerRequestHandler());
        OwnerRelay relay = new OwnerRelay(
                self,
                seats,
                control.groups(),
                peers,
                new PeerHealth(peers, control::question, threads.clock()),
                settings.timeouts().relay(),
                threads.clock(),
                threads.timer());
        RequestRouter router = new RequestRouter(
                configuration,
                new SessionTokenCodecCache(),
                relay,
                drain,
                metrics,
                threads.clock(),
                threads.responseExecutor());
        metrics.registerGauges(
                configuration::version, () -> seats.table().version(), drain::inFlight, peers::openConnections);
        this.callerServer = CallerServer.start(
                listenAddress(settings.callerPort()),
                router,
                settings.maxRequestBytes(),
                settings.timeouts().request());
        this.operatorServer =
                OperatorServer.start(listenAddress(settings.operatorPort()), new OperatorRequestHandler());
    }

    /** Starts a daemon with the standard options. */
    public static Daemon start(DaemonSettings settings) throws Exception {
        return start(settings, DaemonOptions.standard());
    }

    /** Starts a daemon with the given options. */
    public static Daemon start(DaemonSettings settings, DaemonOptions options) throws Exception {
        Daemon daemon = new Daemon(settings, options);
        daemon.control.start();
        LOG.infof(
                "[daemon] %s is listening on %s: caller port %d, operator port %d, peer port %d.",
                settings.daemon(), settings.address(), daemon.callerPort(), daemon.operatorPort(), daemon.peerPort());
        return daemon;
    }

    /** Returns the IP address on which the daemon listens. */
    public String address() {
        return settings.address();
    }

    /** Returns the port on which the daemon listens for callers. */
    public int callerPort() {
        return callerServer.port();
    }

    /** Returns the port on which the daemon listens for operators. */
    public int operatorPort() {
        return operatorServer.port();
    }

    /** Returns the port on which the daemon listens for other daemons. */
    public int peerPort() {
        return peerServer.port();
    }

    /** Returns the IP address and port at which other daemons reach this one. */
    public String peerAddress() {
        return options.advertisedPeerAddress().orElseGet(() -> Addresses.join(settings.address(), peerPort()));
    }

    /** Returns whether the daemon has a configuration and is not draining. */
    public boolean ready() {
        return configuration.version() > 0 && drain.isReady();
    }

    /**
     * Returns the current state of the daemon. The seat and the groups are empty if the control plane does not report
     * them in time.
     */
    public DaemonStatus status() {
        return new DaemonStatus(
                self.daemon(),
                settings.failureDomain(),
                self.incarnation(),
                Version.current(),
                ready(),
                drain.state().name(),
                drain.inFlight(),
                configuration.version(),
                seats.table().version(),
                await(control.usableSeat(), Optional.empty()),
                peers.openConnections(),
                groupReports());
    }

    /**
     * Starts a drain: the daemon accepts no new work, hands over its seat and waits for the work in flight.
     *
     * @return a future that completes with the final state of the drain when the daemon may be closed; all calls return
     *     the same future
     */
    public CompletableFuture<DrainState> drain() {
        CompletableFuture<DrainState> result = new CompletableFuture<>();
        if (drainResult.compareAndSet(null, result)) {
            control.drain().thenAccept(result::complete);
        }
        return drainResult.get();
    }

    /** Closes the servers, connections and threads immediately, without waiting for work in flight. */
    @Override
    public void close() {
        callerServer.close();
        operatorServer.close();
        peerServer.close();
        peers.close();
        endpointPort.close();
        threads.close();
        platform.close();
    }

    private ControlPlane createControlPlane() {
        GroupRecords records = GroupRecords.on(platform);
        // ThreadLocalRandom must be looked up on each call, because any thread may call this generator.
        RandomGenerator random = () -> ThreadLocalRandom.current().nextLong();
        ControlContext context = new ControlContext(
                self,
                threads.controlLoop(),
                platform,
                records,
                AuditLog.create(platform, threads.timer(), threads.clock(), random),
                InstantSource.system(),
                random);
        GroupEnvironment environment = new GroupEnvironment(
                endpointPort,
                settings.timeouts().endpoint(),
                settings.timeouts().connect(),
                options.shareIncreaseDelay(),
                records,
                options.policies(),
                InstantSource.system(),
                random,
                new OpenTransactionCounter(drain),
                self.daemon() + "-" + self.incarnation());
        ControlParts parts = new ControlParts(
                context,
                settings.failureDomain(),
                peerAddress(),
                settings.peers(),
                peers,
                settings.timeouts().exchange(),
                configuration,
                seats,
                drain);
        return new ControlPlane(parts, new GroupStarter() {
            @Override
            public GroupEnvironment environment() {
                return environment;
            }

            @Override
            public EventLoop nextLoop() {
                return threads.nextGroupLoop();
            }
        });
    }

    private InetSocketAddress listenAddress(int port) throws IOException {
        return new InetSocketAddress(InetAddress.getByName(settings.address()), port);
    }

    private List<GroupReport> groupReports() {
        return await(control.reports(), List.of());
    }

    private static <T> T await(CompletableFuture<T> future, T fallback) {
        try {
            return future.get(STATE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            return fallback;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return fallback;
        }
    }

    private final class PeerRequestHandler implements PeerHandler {
        @Override
        public CompletableFuture<RelayResponse> execute(RelayRequest request) {
            return relayReceiver.execute(request);
        }

        @Override
        public CompletableFuture<ExchangeResponse> exchange(ExchangeRequest request) {
            return control.receive(request);
        }
    }

    private final class OperatorRequestHandler implements OperatorHandler {
        @Override
        public boolean ready() {
            return Daemon.this.ready();
        }

        @Override
        public Object status() {
            return Daemon.this.status();
        }

        @Override
        public String metrics() {
            return metrics.scrape(groupReports());
        }

        @Override
        public void drain() {
            Daemon.this.drain();
        }

        @Override
        public CompletableFuture<Either<Failure, String>> promote(GroupName group, Optional<EndpointName> target) {
            return control.promote(group, target);
        }
    }
}
