package org.lavenderwick.daemon.session;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.jboss.logging.Logger;
import org.lavenderwick.adapters.session.EndpointCodec;
import org.lavenderwick.adapters.session.EndpointError;
import org.lavenderwick.core.catalog.EndpointEntry;
import org.lavenderwick.core.dispatch.UnresponsiveEndpointDetector;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.statement.SessionContext;
import org.lavenderwick.core.time.Backoff;

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

    private static final Duration MIN_BACKOFF = Duration.ofMillis(40);
    private static final Duration MAX_BACKOFF = Duration.ofMillis(400);

    /**
     * Delay before the next connection attempt after the endpoint rejected one, for example because it has no free
     * connection.
     */
    private static final Duration REJECTED_CONNECT_DELAY = Duration.ofMillis(250);

    /** How long a replica counts as behind after it reported that it has not reached a required log position. */
    private static final Duration BEHIND_DURATION = Duration.ofMillis(60);

    private static final Logger LOG = Logger.getLogger(EndpointConnectionPool.class);

    private final EventLoop loop;
    private final EndpointCodec codec;
    private final EndpointConnection.Listener listener;
    private final Backoff backoff;
    private final List<EndpointConnection> connections = new ArrayList<>();
    private EndpointEntry entry;
    private int maxConnections = 1;
    private Duration nextConnectAt = Duration.ZERO;
    private final UnresponsiveEndpointDetector unresponsiveDetector =
            UnresponsiveEndpointDetector.create(RESPONSE_TIMEOUT);
    private boolean lastConnectFailed;
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
            Backoff backoff) {
        this.loop = loop;
        this.codec = codec;
        this.listener = listener;
        this.backoff = backoff;
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

    /** Sets the maximum number of connections and closes idle ones above it. */
    void limitConnections(int maximum) {
        maxConnections = Math.max(1, maximum);
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

    /** Returns an idle connection, preferably one whose session variables already match those of the session. */
    Optional<EndpointConnection> idleConnection(SessionContext session) {
        EndpointConnection found = null;
        for (EndpointConnection connection : connections) {
            if (connection.isIdle()) {
                if (connection.context().hasVariablesOf(session)) {
                    return Optional.of(connection);
                }
                found = found == null ? connection : found;
            }
        }
        return Optional.ofNullable(found);
    }

    /** Returns the idle connection that was opened first. */
    Optional<EndpointConnection> oldestIdleConnection() {
        return connections.stream()
                .filter(EndpointConnection::isIdle)
                .max(Comparator.comparing(EndpointConnection::age));
    }

    /**
     * Starts to open a first connection before any statement needs one, because only reports on connections of a
     * minimum age count as evidence.
     */
    void openFirstConnection() {
        if (connections.isEmpty() && !entry.draining()) {
            openConnection();
        }
    }

    /**
     * Starts to open a connection. Does nothing if one is already being opened, the maximum is reached, another
     * endpoint uses the address, or the delay since the last failed attempt has not passed.
     */
    void openConnection() {
        boolean opening = connections.stream().anyMatch(connection -> !connection.isOpen());
        if (opening
                || wrongEndpoint
                || connections.size() >= maxConnections
                || loop.now().compareTo(nextConnectAt) < 0) {
            return;
        }
        unresponsiveDetector.onRequestSent(loop.now());
        try {
            connections.add(EndpointConnection.open(loop, codec, entry, listener));
        } catch (IOException e) {
            LOG.warnf(
                    "[session] Failed to connect to endpoint %s: %s; retrying after a delay.",
                    entry.name(), e.getMessage());
            onConnectFailed();
        }
    }

    /** Returns whether a connection is open, or is expected to open because the previous attempt did not fail. */
    boolean isUsable() {
        return !wrongEndpoint && (connections.stream().anyMatch(EndpointConnection::isOpen) || !lastConnectFailed);
    }

    void onOpened() {
        backoff.reset();
        lastConnectFailed = false;
        recordResponse();
        lastAnsweredRequestAt = loop.now();
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
            nextConnectAt = loop.now().plus(REJECTED_CONNECT_DELAY);
        } else if (!connection.wasOpen()) {
            onConnectFailed();
        }
    }

    private void onConnectFailed() {
        nextConnectAt = loop.now().plus(backoff.nextDelay());
        lastConnectFailed = true;
    }

    /** Returns the backoff for connection attempts to one endpoint. */
    static Backoff newBackoff(java.util.random.RandomGenerator random) {
        return Backoff.create(MIN_BACKOFF, MAX_BACKOFF, random);
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

    List<EndpointConnection> connections() {
        return List.copyOf(connections);
    }
}
