package org.lavenderwick.daemon.session;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.session.CallerCodec;
import org.lavenderwick.adapters.session.EndpointCodec;
import org.lavenderwick.core.account.AccessRules;
import org.lavenderwick.core.account.AccountDirectory;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.account.KeyFingerprint;
import org.lavenderwick.core.account.RateLimitBounds;
import org.lavenderwick.core.account.SessionAccess;
import org.lavenderwick.core.balancing.BalancingSettings;
import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.catalog.DatabaseRoute;
import org.lavenderwick.core.dispatch.UnresponsiveOwners;
import org.lavenderwick.core.failover.LeaseConfirmation;
import org.lavenderwick.core.failover.ProvenPrimary;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.propagation.ContentStatus;
import org.lavenderwick.core.propagation.DenialRule;
import org.lavenderwick.core.store.StoreChanges;

/**
 * The sessions of this daemon, with a dispatcher for each database group. Confined to the traffic thread, except for
 * the methods of {@link TrafficThread} and those documented as callable from any thread.
 */
public final class SessionProxy implements EventLoop.Ticker, TrafficThread {
    /** Idle timeout of transactions while no configuration is known; no transaction is open then. */
    private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofDays(1);

    private static final Logger LOG = Logger.getLogger(SessionProxy.class);

    private final EventLoop loop;
    private final CallerCodec callerCodec;
    private final EndpointCodec endpointCodec;
    private final DaemonName daemon;
    private final FailureDomain domain;
    private final RandomGenerator random;
    private final ClockJumpDetector clockJumpDetector;
    private final Duration configurationBound;
    private final BalancingSettings balancing;
    private final StoreFeed feed;
    private final RouteLookup routes;
    private final RequestLog requestLog;
    private final Map<GroupName, GroupDispatcher> dispatchers = new HashMap<>();
    private final Set<CallerConnection> sessions = new HashSet<>();
    private final Set<CallerConnection> unauthorizedSessions = new HashSet<>();
    private FleetSnapshot snapshot = FleetSnapshot.EMPTY;
    private Duration evidenceDiscardedUntil = Duration.ofSeconds(-1);
    private volatile Set<EndpointName> unresponsiveEndpoints = ImmutableSet.of();
    private volatile Map<GroupName, ProvenPrimary> primariesProvenByEndpoints = ImmutableMap.of();
    private volatile Map<GroupName, ProvenPrimary> primariesReportedByEndpoints = ImmutableMap.of();
    private volatile boolean busy;
    private final RelayCandidates relayCandidates;
    private final UnresponsiveOwners<Peer> unresponsiveOwners = UnresponsiveOwners.create();
    private final OperationStart operationStart;
    private final GracefulStop gracefulStop;

    /**
     * Creates a proxy without sessions and registers it with the event loop.
     *
     * @param configurationBound time in which a change of the configuration must be in force
     * @param rateLimits how exactly the rate limits of accounts are kept; empty if operations are not limited
     */
    public SessionProxy(
            EventLoop loop,
            CallerCodec callerCodec,
            EndpointCodec endpointCodec,
            DaemonName daemon,
            FailureDomain domain,
            RandomGenerator random,
            ClockJumpDetector clockJumpDetector,
            Duration configurationBound,
            Optional<RateLimitBounds> rateLimits,
            BalancingSettings balancing) {
        this.loop = loop;
        this.callerCodec = callerCodec;
        this.endpointCodec = endpointCodec;
        this.daemon = daemon;
        this.domain = domain;
        this.random = random;
        this.clockJumpDetector = clockJumpDetector;
        this.configurationBound = configurationBound;
        this.balancing = balancing;
        this.feed = new StoreFeed(loop);
        this.routes = new RouteLookup(
                () -> snapshot.catalog(),
                DenialRule.of(configurationBound),
                this::checkEvidenceDiscardedUntil,
                loop::currentTime);
        this.requestLog = new RequestLog(this::describeGroup, routes::describeContent, loop::now);
        this.relayCandidates = new RelayCandidates(daemon, domain, new Random(random.nextLong()));
        this.operationStart = new OperationStart(rateLimits.map(
                bounds -> new RateLimiter(loop, daemon, domain, bounds, random, this::checkForClockJump)));
        this.gracefulStop = new GracefulStop(loop, random);
        loop.onTick(this);
        loop.onWakeup(this::checkForClockJump);
    }

    /** Returns a new session of a caller that is connected to this daemon. */
    CallerConnection newSession() {
        gracefulStop.onSessionArrived();
        return register(CallerConnection.ofCaller(this, callerCodec, endpointCodec, loop));
    }

    /**
     * Returns a new session that another daemon relays to this one. It is always served here.
     *
     * @param opening the line by which it is relayed
     */
    CallerConnection newRelayedSession(RelayProtocol.Opening opening) {
        return register(CallerConnection.ofPeer(this, callerCodec, endpointCodec, loop, opening));
    }

    private CallerConnection register(CallerConnection session) {
        sessions.add(session);
        return session;
    }

    /** Returns the active configuration; empty if none is known. */
    Optional<Catalog> catalog() {
        return snapshot.catalog();
    }

    /** Returns the listener of a connection accepted from another daemon. */
    IncomingPeerConnection newPeerConnection() {
        return new IncomingPeerConnection(this, feed);
    }

    @Override
    public void applySnapshot(FleetSnapshot newSnapshot) {
        loop.execute(() -> handleSnapshot(newSnapshot));
    }

    @Override
    public void publishStoreChanges(boolean complete, StoreChanges changes, Duration currentAt) {
        loop.execute(() -> feed.publish(complete, changes, currentAt));
    }

    private void handleSnapshot(FleetSnapshot newSnapshot) {
        boolean sameCatalog =
                newSnapshot.catalog().orElse(null) == snapshot.catalog().orElse(null);
        snapshot = newSnapshot;
        if (!sameCatalog) {
            enforceAccess(sessions);
        }
        newSnapshot
                .catalog()
                .ifPresent(catalog -> catalog.maxConnections().keySet().forEach(this::dispatcher));
        dispatchers.values().forEach(dispatcher -> dispatcher.apply(newSnapshot));
        operationStart.limiter().ifPresent(limiter -> limiter.apply(newSnapshot));
    }

    @Override
    public void applyGrantors(GrantorView view) {
        loop.execute(() -> operationStart.limiter().ifPresent(limiter -> limiter.apply(view)));
    }

    OperationStart operationStart() {
        return operationStart;
    }

    /** Ends the given sessions if their keys give no access, and keeps those that need a further check. */
    private void enforceAccess(Set<CallerConnection> candidates) {
        int before = sessions.size();
        for (CallerConnection session : List.copyOf(candidates)) {
            if (enforceAccess(session)) {
                unauthorizedSessions.remove(session);
            } else if (sessions.contains(session)) {
                unauthorizedSessions.add(session);
            }
        }
        if (sessions.size() < before) {
            LOG.infof("[session] Closed %d sessions whose keys were withdrawn.", before - sessions.size());
        }
    }

    /** Checks the access of one session; an unexpected error in it must not keep those of the others from passing. */
    private static boolean enforceAccess(CallerConnection session) {
        try {
            return session.enforceAccess();
        } catch (RuntimeException e) {
            LOG.errorf(e, "[session] Closing a session after an unexpected error in the check of its access.");
            session.abort();
            return true;
        }
    }

    /** Returns the access of a new session to a database. */
    DatabaseAccess newAccess(String database, KeyFingerprint key) {
        return new DatabaseAccess(this, loop, database, SessionAccess.of(key, configurationBound));
    }

    /**
     * Returns what the active configuration requires of a session. A database that is no longer configured stays as
     * public as it was; a statement on it is rejected for another reason.
     */
    AccessRules accessRules(String database, SessionAccess access) {
        return snapshot.catalog()
                .map(catalog -> new AccessRules(
                        catalog.accounts(),
                        catalog.route(database)
                                .map(DatabaseRoute::isPublic)
                                .orElse(access.account().isEmpty())))
                .orElse(new AccessRules(AccountDirectory.EMPTY, false));
    }

    RouteLookup routes() {
        return routes;
    }

    RequestLog requestLog() {
        return requestLog;
    }

    /** Returns a description of the group's state as this daemon knows it, for the log of failed requests. */
    private String describeGroup(GroupName group) {
        return routes.describeConfiguration() + ", "
                + dispatcher(group).primaryTracker().describe(loop.now());
    }

    /** Returns the dispatcher of a group, creating it on first use. */
    GroupDispatcher dispatcher(GroupName group) {
        return dispatchers.computeIfAbsent(group, name -> {
            GroupDispatcher created = new GroupDispatcher(loop, endpointCodec, daemon, domain, random, name, balancing);
            created.apply(snapshot);
            return created;
        });
    }

    /** Returns the primary of the group if it is proven now and is the endpoint of the connection; empty otherwise. */
    Optional<ProvenPrimary> provenPrimary(GroupName group, EndpointConnection connection) {
        return dispatcher(group)
                .primaryTracker()
                .current(loop.now())
                .filter(proven -> proven.primary().equals(connection.endpoint().name()));
    }

    /** Returns the peers to which a session may be relayed, in order of preference; empty to serve it here. */
    List<Peer> relayCandidates(GroupName group, Optional<AccountName> account) {
        GroupDispatcher dispatcher = dispatcher(group);
        return relayCandidates.find(snapshot, group, account, dispatcher.owners());
    }

    /** Returns which owners have left requests of this daemon without a response. */
    UnresponsiveOwners<Peer> unresponsiveOwners() {
        return unresponsiveOwners;
    }

    /** Removes a session that has ended. */
    void onSessionEnded(CallerConnection session) {
        sessions.remove(session);
        unauthorizedSessions.remove(session);
    }

    /**
     * Starts to close all sessions for a graceful stop, at the end of which the event loop stops; has no effect if they
     * are being closed already.
     */
    public void startDrain(StopSchedule schedule) {
        gracefulStop.begin(schedule);
    }

    GracefulStop gracefulStop() {
        return gracefulStop;
    }

    /** Returns whether operations and sessions that arrive now are rejected because the daemon stops. */
    boolean rejectsOperations() {
        return gracefulStop.rejectsOperations();
    }

    @Override
    public void onStoreContentCurrent(Duration currentAt) {
        loop.execute(() -> feed.onContentCurrent(currentAt));
    }

    @Override
    public void receiveOffersWith(Consumer<InetSocketAddress> receiver) {
        loop.execute(() -> feed.receiveOffersWith(receiver));
    }

    @Override
    public void describeContentWith(Supplier<ContentStatus> source) {
        routes.describeContentWith(source);
    }

    @Override
    public void confirmLeasesWith(Function<Supplier<Duration>, Optional<LeaseConfirmation>> source) {
        loop.execute(() -> feed.confirmWith(() -> source.apply(this::checkEvidenceDiscardedUntil)));
    }

    /** Checks whether the host was suspended, and returns the time until which all evidence is discarded. */
    Duration checkEvidenceDiscardedUntil() {
        checkForClockJump();
        return evidenceDiscardedUntil;
    }

    @Override
    public Set<EndpointName> unresponsiveEndpoints() {
        return unresponsiveEndpoints;
    }

    @Override
    public Map<GroupName, ProvenPrimary> primariesProvenByEndpoints() {
        return primariesProvenByEndpoints;
    }

    @Override
    public Map<GroupName, ProvenPrimary> primariesReportedByEndpoints() {
        return primariesReportedByEndpoints;
    }

    @Override
    public boolean isBusy() {
        return busy;
    }

    private void checkForClockJump() {
        clockJumpDetector.jump().ifPresent(length -> {
            LOG.warn("[session] The clocks of the host parted; evidence of terms is discarded and collected again.");
            // Not the time at which this iteration began: a renewal may have been dated since then.
            evidenceDiscardedUntil = loop.currentTime();
            dispatchers.values().forEach(dispatcher -> dispatcher.discardEvidence(evidenceDiscardedUntil, length));
            operationStart.limiter().ifPresent(limiter -> limiter.discard(evidenceDiscardedUntil));
        });
    }

    /** Runs the tick of one group; an unexpected error in it must not keep those of the others from running. */
    private static boolean tick(GroupDispatcher dispatcher) {
        try {
            return dispatcher.tick();
        } catch (RuntimeException e) {
            LOG.errorf(e, "[session] Continuing after an unexpected error in the tick of a group.");
            return true;
        }
    }

    /** Checks the timeouts of one session; an unexpected error in it must not keep those of the others from passing. */
    private static void checkTimeouts(CallerConnection session, Duration now, Duration transactionIdleTimeout) {
        try {
            session.checkTimeouts(now, transactionIdleTimeout);
        } catch (RuntimeException e) {
            LOG.errorf(e, "[session] Closing a session after an unexpected error in the check of its timeouts.");
            session.abort();
        }
    }

    @Override
    public boolean tick(Duration now) {
        // Before the dispatchers, so that no statement of a withdrawn key is sent at this tick.
        if (!unauthorizedSessions.isEmpty()) {
            enforceAccess(unauthorizedSessions);
        }
        boolean hasPending = !unauthorizedSessions.isEmpty();
        boolean hasWork = false;
        ImmutableSet.Builder<EndpointName> unresponsive = ImmutableSet.builder();
        ImmutableMap.Builder<GroupName, ProvenPrimary> proven = ImmutableMap.builder();
        ImmutableMap.Builder<GroupName, ProvenPrimary> reported = ImmutableMap.builder();
        for (Map.Entry<GroupName, GroupDispatcher> entry : dispatchers.entrySet()) {
            GroupDispatcher dispatcher = entry.getValue();
            hasPending |= tick(dispatcher);
            hasWork |= dispatcher.isBusy();
            unresponsive.addAll(dispatcher.unresponsiveEndpoints());
            PrimaryTracker tracker = dispatcher.primaryTracker();
            tracker.provenByEndpoints().ifPresent(found -> proven.put(entry.getKey(), found));
            tracker.reportedByEndpoints().ifPresent(found -> reported.put(entry.getKey(), found));
        }
        primariesProvenByEndpoints = proven.buildOrThrow();
        primariesReportedByEndpoints = reported.buildOrThrow();
        unresponsiveEndpoints = unresponsive.build();
        busy = hasWork;
        Duration transactionIdleTimeout =
                snapshot.catalog().map(Catalog::transactionIdleTimeout).orElse(DEFAULT_IDLE_TIMEOUT);
        List.copyOf(sessions).forEach(session -> checkTimeouts(session, now, transactionIdleTimeout));
        feed.tick(now);
        hasPending |= operationStart.tick(now);
        gracefulStop.tick(now, sessions);
        return hasPending || gracefulStop.hasBegun();
    }
}
