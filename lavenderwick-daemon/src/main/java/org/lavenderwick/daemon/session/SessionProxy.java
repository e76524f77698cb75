package org.lavenderwick.daemon.session;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;

import com.google.common.collect.ImmutableSet;
import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.session.CallerCodec;
import org.lavenderwick.adapters.session.EndpointCodec;
import org.lavenderwick.core.catalog.Catalog;
import org.lavenderwick.core.catalog.DatabaseRoute;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.failover.ProvenPrimary;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.store.StoreChanges;

/** All sessions of this daemon and the groups that serve them. Confined to the traffic thread, unless noted. */
public final class SessionProxy implements EventLoop.Ticker, TrafficThread {

    /** Stands in for the idle time of transactions while no configuration is known; no transaction is open then. */
    private static final Duration NO_LIMIT = Duration.ofDays(1);

    private static final Logger LOG = Logger.getLogger(SessionProxy.class);

    private final EventLoop loop;
    private final CallerCodec callerCodec;
    private final EndpointCodec endpointCodec;
    private final DaemonName daemon;
    private final FailureDomain domain;
    private final RandomGenerator random;
    private final ClockJumpDetector clockGuard;
    private final FleetFeed feed;
    private final RequestLog requestLog;
    private final Map<GroupName, GroupDispatcher> dispatchers = new HashMap<>();
    private final Set<CallerConnection> sessions = new HashSet<>();
    private FleetSnapshot view = FleetSnapshot.EMPTY;
    private Draining draining;
    private volatile Set<EndpointName> unresponsiveEndpoints = ImmutableSet.of();
    private volatile boolean busy;
    private volatile int openSessions;
    private final Random shuffling;

    /** Creates a proxy without any session. */
    public SessionProxy(
            EventLoop loop,
            CallerCodec callerCodec,
            EndpointCodec endpointCodec,
            DaemonName daemon,
            FailureDomain domain,
            RandomGenerator random,
            ClockJumpDetector clockGuard) {
        this.loop = loop;
        this.callerCodec = callerCodec;
        this.endpointCodec = endpointCodec;
        this.daemon = daemon;
        this.domain = domain;
        this.random = random;
        this.clockGuard = clockGuard;
        this.feed = new FleetFeed(loop);
        this.requestLog = new RequestLog(this::beliefs, loop::now);
        this.shuffling = new Random(random.nextLong());
        loop.onTick(this);
        loop.onWakeup(this::checkClock);
    }

    /** Returns a new session; one that a peer relays is always served here. */
    CallerConnection newSession(boolean relayed) {
        CallerConnection session = new CallerConnection(this, callerCodec, endpointCodec, loop, relayed);
        sessions.add(session);
        return session;
    }

    /** Returns a new connection of another daemon. */
    PeerConnection newPeerConnection() {
        return new PeerConnection(this, feed);
    }

    @Override
    public void applySnapshot(FleetSnapshot newView) {
        loop.execute(() -> take(newView));
    }

    @Override
    public void publishStoreChanges(boolean complete, StoreChanges changes, Duration currentSince) {
        loop.execute(() -> feed.take(complete, changes, currentSince));
    }

    private void take(FleetSnapshot newView) {
        view = newView;
        newView.catalog().ifPresent(catalog -> catalog.maxConnections().keySet().forEach(this::dispatcher));
        dispatchers.values().forEach(dispatcher -> dispatcher.apply(newView));
    }

    /** Returns why a session on a database cannot be opened; empty if it can. */
    Optional<Failure> checkDatabase(String database) {
        Either<Failure, DatabaseRoute> route = route(database);
        return route.isLeft() ? Optional.of(route.getLeft()) : Optional.empty();
    }

    RequestLog requestLog() {
        return requestLog;
    }

    /** Tells what this daemon believes of a group. */
    private String beliefs(GroupName group) {
        String configuration = view.catalog()
                .map(catalog -> "configuration " + catalog.version())
                .orElse("no configuration");
        return configuration + ", " + dispatcher(group).primaryTracker().describe(loop.now());
    }

    /** Returns the route of a database in the configuration in force. */
    Either<Failure, DatabaseRoute> route(String database) {
        if (view.catalog().isEmpty()) {
            return Either.left(Failure.of(ErrorKind.NOT_CONFIGURED, "the daemon has no configuration yet"));
        }
        return view.catalog()
                .get()
                .route(database)
                .<Either<Failure, DatabaseRoute>>map(Either::right)
                .orElseGet(() -> Either.left(Failure.of(ErrorKind.UNKNOWN_GROUP, "no such database")));
    }

    GroupDispatcher dispatcher(GroupName group) {
        return dispatchers.computeIfAbsent(group, name -> {
            GroupDispatcher created = new GroupDispatcher(loop, endpointCodec, daemon, domain, random, name);
            created.apply(view);
            return created;
        });
    }

    /** Returns the proof that the endpoint of a connection is the primary; empty if there is none that counts. */
    Optional<ProvenPrimary> provenPrimary(GroupName group, EndpointConnection connection) {
        return dispatcher(group)
                .primaryTracker()
                .current(loop.now())
                .filter(view -> view.primary().equals(connection.endpoint().name()));
    }

    /**
     * Returns the peers to which a session on a group may be relayed, the best first: owners in the failure domain of
     * this daemon, then the others, each in random order. Empty if this daemon owns the group.
     */
    List<Peer> owners(GroupName group) {
        GroupDispatcher dispatcher = dispatcher(group);
        if (dispatcher.isOwner()) {
            return List.of();
        }
        List<Peer> owners = new ArrayList<>();
        dispatcher.owners().forEach(name -> owners.add(view.peers().get(name)));
        Collections.shuffle(owners, shuffling);
        owners.sort(Comparator.comparing(peer -> !peer.failureDomain().equals(domain)));
        return owners;
    }

    void ended(CallerConnection session) {
        sessions.remove(session);
    }

    /** Starts a graceful stop: sessions are closed between statements, and transactions are rolled back in the end. */
    public void startDrain(Duration closeFrom, Duration abortFrom) {
        draining = new Draining(loop.now().plus(closeFrom), loop.now().plus(abortFrom));
    }

    @Override
    public void closeFeed() {
        loop.execute(feed::endAll);
    }

    @Override
    public Set<EndpointName> unresponsiveEndpoints() {
        return unresponsiveEndpoints;
    }

    @Override
    public boolean isBusy() {
        return busy;
    }

    /** Returns how many sessions are open. May be called from any thread. */
    public int openSessions() {
        return openSessions;
    }

    private void checkClock() {
        if (clockGuard.hasJumped()) {
            LOG.warn("[session] The clocks of the host parted; evidence of terms is gathered anew.");
            dispatchers.values().forEach(GroupDispatcher::discardEvidence);
        }
    }

    @Override
    public boolean tick(Duration now) {
        boolean waiting = false;
        boolean working = false;
        ImmutableSet.Builder<EndpointName> found = ImmutableSet.builder();
        for (GroupDispatcher dispatcher : dispatchers.values()) {
            waiting |= dispatcher.tick();
            working |= dispatcher.isBusy();
            found.addAll(dispatcher.unresponsiveEndpoints());
        }
        unresponsiveEndpoints = found.build();
        busy = working;
        Duration transactionIdle =
                view.catalog().map(Catalog::transactionIdleTimeout).orElse(NO_LIMIT);
        List.copyOf(sessions).forEach(session -> session.tick(now, transactionIdle));
        if (draining != null) {
            draining.tick(now, sessions);
        }
        feed.tick(now);
        openSessions = sessions.size();
        return waiting || draining != null;
    }
}
