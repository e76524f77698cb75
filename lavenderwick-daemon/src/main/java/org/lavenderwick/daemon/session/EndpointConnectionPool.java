package org.lavenderwick.daemon.session;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.jboss.logging.Logger;
import org.lavenderwick.adapters.session.EndpointCodec;
import org.lavenderwick.adapters.session.EndpointError;
import org.lavenderwick.core.account.AccountName;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.connections.account.AccountConnectionCache;
import org.lavenderwick.core.connections.account.MissDecision;
import org.lavenderwick.core.dispatch.UnresponsiveEndpointDetector;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.statement.SessionContext;

/**
 * The connections of this daemon to one endpoint, together with the known state of the endpoint. Confined to the
 * traffic thread.
 */
final class EndpointConnectionPool {

    /** An endpoint is unresponsive if requests are pending and no response has arrived for this long. */
    static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(700);

    /**
     * A connection is stalled if a request has been pending on it for this long, although the endpoint has responded to
     * a request that was sent at least half this time later.
     */
    private static final Duration STALL_TIMEOUT = Duration.ofMillis(600);

    /** Maximum time to open a connection; the handshake takes about 10 ms but may have to wait for a free slot. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(600);

    /** How long a replica counts as behind after it reported that it has not reached a required log position. */
    private static final Duration BEHIND_DURATION = Duration.ofMillis(60);

    private static final Logger LOG = Logger.getLogger(EndpointConnectionPool.class);

    private final EventLoop loop;
    private final EndpointCodec codec;
    private final EndpointConnection.Listener listener;
    private final ConnectRetryDelay retryDelay;
    private final ConnectionCounters counters;
    private final List<EndpointConnection> connections = new ArrayList<>();
    private final AccountConnectionCache<EndpointConnection> cache = AccountConnectionCache.create();
    private boolean accountsInForce;
    private boolean closesAccountConnections;
    private EndpointEntry entry;
    private int maxConnections = 1;
    private final UnresponsiveEndpointDetector unresponsiveDetector =
            UnresponsiveEndpointDetector.create(RESPONSE_TIMEOUT);
    private Duration lastAnsweredRequestAt = Duration.ZERO;
    private Duration drainingSince;
    private LogPoint knownPosition = LogPoint.START;
    private Duration behindUntil = Duration.ZERO;
    private boolean wrongEndpoint;

    EndpointConnectionPool(
            EventLoop loop,
            EndpointCodec codec,
            EndpointConnection.Listener listener,
            EndpointEntry entry,
            ConnectRetryDelay retryDelay,
            ConnectionCounters counters) {
        this.loop = loop;
        this.codec = codec;
        this.listener = listener;
        this.retryDelay = retryDelay;
        this.counters = counters;
        update(entry);
    }

    /** Applies the new entry of the endpoint in the store; closes unused connections if its address has changed. */
    void update(EndpointEntry newEntry) {
        boolean addressChanged = entry != null && !entry.address().equals(newEntry.address());
        if (addressChanged || (entry != null && !entry.equals(newEntry))) {
            wrongEndpoint = false;
        }
        if (!newEntry.draining()) {
            drainingSince = null;
        } else if (drainingSince == null) {
            drainingSince = loop.now();
        }
        entry = newEntry;
        if (addressChanged) {
            closeIdle();
        }
    }

    /**
     * Sets whether each connection belongs to one client account. If not, only the daemon's own connections are used,
     * and those of accounts are closed once they are idle.
     */
    void useAccounts(boolean inForce) {
        closesAccountConnections = !inForce && (accountsInForce || closesAccountConnections);
        accountsInForce = inForce;
        closeSurplus();
    }

    /** Sets the maximum number of connections and closes idle ones above it. */
    void limitConnections(int maximum) {
        maxConnections = Math.max(1, maximum);
        if (accountsInForce) {
            closeSurplus();
            return;
        }
        List<EndpointConnection> idle =
                connections.stream().filter(EndpointConnection::isIdle).toList();
        int surplus = connections.size() - maxConnections;
        idle.stream()
                .limit(Math.max(0, surplus))
                .forEach(connection -> connection.close("the pool exceeds its maximum number of connections"));
    }

    EndpointEntry entry() {
        return entry;
    }

    /** Returns since when the endpoint is known to be draining; empty if it is not. */
    Optional<Duration> drainingSince() {
        return Optional.ofNullable(drainingSince);
    }

    /** Returns the number of statements that run on the connections. */
    int inFlight() {
        return (int) connections.stream().filter(EndpointConnection::isRunning).count();
    }

    /**
     * Returns an idle connection of an account, preferably one whose session variables already match those of the
     * session.
     */
    Optional<EndpointConnection> idleConnection(Optional<AccountName> account, SessionContext session) {
        return cache.idle(
                connections, account, connection -> connection.context().hasVariablesOf(session));
    }

    /** Returns whether a connection of an account is idle. */
    boolean hasIdleConnection(Optional<AccountName> account) {
        return cache.idle(connections, account, connection -> true).isPresent();
    }

    /** Returns the oldest idle connection of the daemon itself. */
    Optional<EndpointConnection> oldestIdleConnection() {
        return cache.idle(connections, Optional.empty(), connection -> true);
    }

    /**
     * Starts to open a first connection before any statement needs one, because only reports on connections of a
     * minimum age count as evidence.
     */
    void openFirstConnection() {
        if ((accountsInForce || connections.isEmpty()) && !entry.draining()) {
            openConnection();
        }
    }

    /**
     * Starts to open a connection of the daemon itself. Does nothing if one is already being opened, the maximum is
     * reached, another endpoint uses the address, or the delay since the last failed attempt has not passed. While
     * accounts are in force, it does nothing if there is one already, and may replace one of an account.
     */
    void openConnection() {
        if (!mayConnect()) {
            return;
        }
        if (accountsInForce) {
            openMissingOwnConnection();
            return;
        }
        boolean opening = connections.stream().anyMatch(connection -> !connection.isOpen());
        if (!opening && connections.size() < maxConnections) {
            connect(Optional.empty());
        }
    }

    private void openMissingOwnConnection() {
        if (cache.countOf(connections, Optional.empty()) > 0) {
            return;
        }
        if (connections.size() == maxConnections && AccountConnectionCache.keepsOwn(maxConnections)) {
            cache.leastUseful(connections, maxConnections, loop.now()).ifPresent(this::discard);
        }
        if (connections.size() < maxConnections) {
            connect(Optional.empty());
        }
    }

    /**
     * Opens a connection for a statement of an account that has no idle one, evicts another one for it, or decides that
     * the statement waits.
     */
    MissDecision.Action openFor(Optional<AccountName> account) {
        MissDecision<EndpointConnection> decision = cache.onMiss(connections, account, maxConnections, loop.now());
        if (decision.action() != MissDecision.Action.OPEN) {
            return decision.action();
        }
        // Each connection that is opened occupies a slot of the endpoint.
        long opening =
                connections.stream().filter(connection -> !connection.isOpen()).count();
        if (!mayConnect() || opening >= Math.max(1, entry.slots() / 2)) {
            return MissDecision.Action.NO_ROOM;
        }
        decision.evicted().ifPresent(this::discard);
        counters.recordMiss(decision.evicted().isPresent());
        connect(account);
        return MissDecision.Action.OPEN;
    }

    /**
     * While accounts are in force, closes the least useful idle connections above the maximum. Afterwards, closes the
     * idle connections of accounts that are left.
     */
    void closeSurplus() {
        if (closesAccountConnections) {
            connections.stream()
                    .filter(connection ->
                            connection.isIdle() && connection.account().isPresent())
                    .toList()
                    .forEach(this::discard);
            closesAccountConnections = connections.stream()
                    .anyMatch(connection -> connection.account().isPresent());
        }
        Optional<EndpointConnection> surplus = Optional.empty();
        do {
            surplus.ifPresent(this::discard);
            surplus = accountsInForce && connections.size() > maxConnections
                    ? cache.leastUseful(connections, maxConnections, loop.now())
                    : Optional.empty();
        } while (surplus.isPresent());
    }

    private void discard(EndpointConnection connection) {
        connections.remove(connection);
        connection.discard();
    }

    /** Starts a new pass over all waiting statements. */
    void beginPass() {
        cache.beginPass();
    }

    /** Records that a statement of an account starts on one of the connections. */
    void recordUse(Optional<AccountName> account) {
        cache.recordUse(account, loop.now());
    }

    /** Records that a statement was served. */
    void recordServed(Duration serviceTime) {
        cache.recordServed(serviceTime);
    }

    private boolean mayConnect() {
        return !wrongEndpoint && retryDelay.allowsAttempt(loop.now());
    }

    private void connect(Optional<AccountName> account) {
        unresponsiveDetector.onRequestSent(loop.now());
        try {
            connections.add(EndpointConnection.open(loop, codec, entry, account, listener));
        } catch (IOException e) {
            LOG.warnf(
                    "[session] Failed to connect to endpoint %s: %s; retrying after a delay.",
                    entry.name(), e.getMessage());
            retryDelay.onFailed(loop.now());
        }
    }

    /** Returns whether a connection is open, or is expected to open because the previous attempt did not fail. */
    boolean isUsable() {
        return !wrongEndpoint && (connections.stream().anyMatch(EndpointConnection::isOpen) || !retryDelay.hasFailed());
    }

    void onOpened(EndpointConnection connection) {
        retryDelay.onOpened();
        cache.recordOpened(connection.age());
        recordResponse();
        lastAnsweredRequestAt = loop.now();
        closeSurplus();
    }

    private void recordResponse() {
        unresponsiveDetector.onResponse(loop.now(), hasPendingRequests());
    }

    /** Returns whether a request is pending on any connection, or a connection is being opened. */
    boolean hasPendingRequests() {
        return connections.stream()
                .anyMatch(connection -> connection.pendingSince().isPresent());
    }

    void onRequestSent() {
        unresponsiveDetector.onRequestSent(loop.now());
    }

    void onClosed(EndpointConnection connection, Optional<EndpointError> rejection) {
        connections.remove(connection);
        if (rejection.isPresent()) {
            recordResponse();
            lastAnsweredRequestAt = loop.now();
        }
        if (rejection.equals(Optional.of(EndpointError.OTHER_ENDPOINT))) {
            wrongEndpoint = true;
            LOG.infof(
                    "[session] Another endpoint uses the address of endpoint %s;"
                            + " not connecting to it until its entry changes.",
                    entry.name());
        } else if (rejection.isPresent()) {
            retryDelay.onRejected(loop.now(), accountsInForce);
        } else if (!connection.wasOpen()) {
            retryDelay.onFailed(loop.now());
        }
    }

    void onResponse(EndpointResponse response) {
        recordResponse();
        if (response.sentAt().compareTo(lastAnsweredRequestAt) > 0) {
            lastAnsweredRequestAt = response.sentAt();
        }
        response.position().ifPresent(point -> knownPosition = point);
    }

    /** Returns whether the endpoint may have reached a log position, as far as this daemon knows. */
    boolean mayHaveReached(LogPoint point) {
        return knownPosition.compareTo(point) >= 0 || loop.now().compareTo(behindUntil) >= 0;
    }

    /** Records that the endpoint had not reached a required log position. */
    void onPositionMissing() {
        behindUntil = loop.now().plus(BEHIND_DURATION);
    }

    /** Returns whether the endpoint has not responded to requests or connection attempts for too long. */
    boolean isUnresponsive() {
        return unresponsiveDetector.isUnresponsive(loop.now());
    }

    /** Starts to open a connection if the endpoint is unresponsive and no connection is open. */
    void reconnectIfUnresponsive() {
        if (isUnresponsive() && connections.stream().noneMatch(EndpointConnection::isOpen)) {
            openConnection();
        }
    }

    /** Closes the connections that are stalled or take too long to open. */
    void closeStalled() {
        Duration now = loop.now();
        for (EndpointConnection connection : List.copyOf(connections)) {
            Optional<Duration> pendingSince = connection.pendingSince();
            boolean stalled = pendingSince.isPresent()
                    && connection.isOpen()
                    && pendingSince.get().plus(STALL_TIMEOUT).compareTo(now) < 0
                    && lastAnsweredRequestAt.compareTo(pendingSince.get().plus(STALL_TIMEOUT.dividedBy(2))) > 0;
            boolean slow = pendingSince.isPresent()
                    && !connection.isOpen()
                    && pendingSince.get().plus(CONNECT_TIMEOUT).compareTo(now) < 0;
            if (stalled || slow) {
                connection.close(stalled ? "a request on it is stalled" : "it was not opened in time");
            }
        }
    }

    /** Closes the connections that are idle or not yet open. */
    void closeIdle() {
        for (EndpointConnection connection : List.copyOf(connections)) {
            if (connection.isIdle() || !connection.isOpen()) {
                connection.close("it is no longer needed");
            }
        }
    }

    /** Returns the number of connections, including those that are being opened. */
    int size() {
        return connections.size();
    }

    List<EndpointConnection> connections() {
        return List.copyOf(connections);
    }
}
