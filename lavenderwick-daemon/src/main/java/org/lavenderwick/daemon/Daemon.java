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
import org.lavenderwick.daemon.entry.Sessions;
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
 * One daemon. It can run in its own process or, for tests and demonstrations, several to a process. Thread-safe.
 */
public final class Daemon implements AutoCloseable {
    /** Calls to the platform that may be made at once, as in a failover of all owned groups. */
    private static final int PLATFORM_BURST = 100;

    /** Calls a second to the platform in the long run. */
    private static final double PLATFORM_RATE = 20;

    private static final long REPORT_SECONDS = 2;
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
    private final EndpointPort endpoints;
    private final PeerClient peers;
    private final PeerServer peerServer;
    private final ControlPlane control;
    private final RelayReceiver receiver;
    private final CallerServer callers;
    private final OperatorServer operators;
    private final AtomicReference<CompletableFuture<DrainState>> draining = new AtomicReference<>();

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
                TokenBucket.of(PLATFORM_BURST, PLATFORM_RATE, threads.clock()));
        this.endpoints = HttpEndpointPort.create(settings.address());
        this.peers = PeerClient.create(InetAddresses.forString(settings.address()), threads.timer());
        LatePeerHandler late = new LatePeerHandler();
        this.peerServer = PeerServer.start(address(settings.peerPort()), late);
        this.control = controlPlane();
        this.receiver = new RelayReceiver(control.groups(), drain, threads.clock(), threads.answers());
        late.delegateTo(new Peers());
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
                configuration, new Sessions(), relay, drain, metrics, threads.clock(), threads.answers());
        metrics.watch(configuration::version, () -> seats.table().version(), drain::inFlight, peers::openConnections);
        this.callers = CallerServer.start(
                address(settings.callerPort()),
                router,
                settings.maxRequestBytes(),
                settings.timeouts().request());
        this.operators = OperatorServer.start(address(settings.operatorPort()), new Operators());
    }

    /** Starts a daemon with the policies of the fleet. */
    public static Daemon start(DaemonSettings settings) throws Exception {
        return start(settings, DaemonOptions.standard());
    }

    /** Starts a daemon with the given options. */
    public static Daemon start(DaemonSettings settings, DaemonOptions options) throws Exception {
        Daemon daemon = new Daemon(settings, options);
        daemon.control.start();
        LOG.infof(
                "[daemon] %s listens on %s: callers %d, operators %d, peers %d.",
                settings.daemon(), settings.address(), daemon.callerPort(), daemon.operatorPort(), daemon.peerPort());
        return daemon;
    }

    /** Returns the IP address on which the daemon listens. */
    public String address() {
        return settings.address();
    }

    /** Returns the port for callers. */
    public int callerPort() {
        return callers.port();
    }

    /** Returns the port for operators. */
    public int operatorPort() {
        return operators.port();
    }

    /** Returns the port for other daemons. */
    public int peerPort() {
        return peerServer.port();
    }

    /** Returns IP address and port at which other daemons reach this one. */
    public String peerAddress() {
        return options.advertisedPeerAddress().orElseGet(() -> Addresses.join(settings.address(), peerPort()));
    }

    /** Returns whether the daemon serves callers. */
    public boolean ready() {
        return configuration.version() > 0 && drain.isReady();
    }

    /** Returns the state of the daemon. */
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
                reports());
    }

    /**
     * Stops taking new work, hands the seat over and waits for the work in flight. The future completes when the daemon
     * may be closed; later calls return the same future.
     */
    public CompletableFuture<DrainState> drain() {
        CompletableFuture<DrainState> mine = new CompletableFuture<>();
        if (draining.compareAndSet(null, mine)) {
            control.drain().thenAccept(mine::complete);
        }
        return draining.get();
    }

    /** Stops the daemon at once. */
    @Override
    public void close() {
        callers.close();
        operators.close();
        peerServer.close();
        peers.close();
        endpoints.close();
        threads.close();
        platform.close();
    }

    private ControlPlane controlPlane() {
        GroupRecords records = GroupRecords.on(platform);
        // Each thread that asks uses its own generator.
        RandomGenerator random = () -> ThreadLocalRandom.current().nextLong();
        ControlContext context = new ControlContext(
                self,
                threads.control(),
                platform,
                records,
                AuditLog.create(platform, threads.timer(), threads.clock(), random),
                InstantSource.system(),
                random);
        GroupEnvironment environment = new GroupEnvironment(
                endpoints,
                settings.timeouts().endpoint(),
                settings.timeouts().connect(),
                options.shareRaiseWait(),
                records,
                options.policies(),
                InstantSource.system(),
                random,
                new OpenTransactionCount(drain),
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
                return threads.nextLoop();
            }
        });
    }

    private InetSocketAddress address(int port) throws IOException {
        return new InetSocketAddress(InetAddress.getByName(settings.address()), port);
    }

    private List<GroupReport> reports() {
        return await(control.reports(), List.of());
    }

    private static <T> T await(CompletableFuture<T> future, T otherwise) {
        try {
            return future.get(REPORT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            return otherwise;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return otherwise;
        }
    }

    private final class Peers implements PeerHandler {
        @Override
        public CompletableFuture<RelayResponse> execute(RelayRequest request) {
            return receiver.execute(request);
        }

        @Override
        public CompletableFuture<ExchangeResponse> exchange(ExchangeRequest request) {
            return control.receive(request);
        }
    }

    private final class Operators implements OperatorHandler {
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
            return metrics.scrape(reports());
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
