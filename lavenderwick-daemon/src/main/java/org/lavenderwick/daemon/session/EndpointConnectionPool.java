package org.lavenderwick.daemon.session;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
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

/** The connections of this daemon to one endpoint, and what it knows of it. Confined to the traffic thread. */
final class EndpointConnectionPool {

    /** An endpoint that owes an answer for this long, and gave none meanwhile, is suspected to be dead. */
    static final Duration SUSPECT_AFTER = Duration.ofMillis(700);

    /** A connection that owes an answer for this long while others of the endpoint get theirs has gone silent. */
    private static final Duration SILENT_AFTER = Duration.ofMillis(600);

    /** Longest time to open a connection; a handshake takes some ten milliseconds and may wait for a slot. */
    private static final Duration OPEN_LIMIT = Duration.ofMillis(600);

    private static final Duration FIRST_BACKOFF = Duration.ofMillis(40);
    private static final Duration LONGEST_BACKOFF = Duration.ofMillis(400);

    /** Time for which an endpoint without a free connection is left alone. */
    private static final Duration FULL_PAUSE = Duration.ofMillis(250);

    /** Time for which a replica that lacked a position is expected to lack it still. */
    private static final Duration BEHIND_PAUSE = Duration.ofMillis(60);

    private static final Logger LOG = Logger.getLogger(EndpointConnectionPool.class);

    private final EventLoop loop;
    private final EndpointCodec codec;
    private final EndpointConnection.Listener owner;
    private final Backoff backoff;
    private final List<EndpointConnection> connections = new ArrayList<>();
    private EndpointEntry entry;
    private int maxConnections = 1;
    private Duration openNotBefore = Duration.ZERO;
    private final UnresponsiveEndpointDetector silence = UnresponsiveEndpointDetector.create(SUSPECT_AFTER);
    private boolean failing;
    private Duration lastAnswerSentAt = Duration.ZERO;
    private Duration drainingSince;
    private LogPoint known = LogPoint.START;
    private Duration behindUntil = Duration.ZERO;
    private boolean otherEndpoint;

    EndpointConnectionPool(
            EventLoop loop,
            EndpointCodec codec,
            EndpointConnection.Listener owner,
            EndpointEntry entry,
            Backoff backoff) {
        this.loop = loop;
        this.codec = codec;
        this.owner = owner;
        this.backoff = backoff;
        update(entry);
    }

    /** Takes a new description of the endpoint. */
    void update(EndpointEntry newEntry) {
        boolean moved = entry != null && !entry.address().equals(newEntry.address());
        if (moved || (entry != null && !entry.equals(newEntry))) {
            otherEndpoint = false;
        }
        if (!newEntry.draining()) {
            drainingSince = null;
        } else if (drainingSince == null) {
            drainingSince = loop.now();
        }
        entry = newEntry;
        if (moved) {
            closeIdle();
        }
    }

    /** Sets how many connections may be open; idle ones beyond it are closed. */
    void limitConnections(int maximum) {
        maxConnections = Math.max(1, maximum);
        List<EndpointConnection> idle =
                connections.stream().filter(EndpointConnection::isIdle).toList();
        int surplus = connections.size() - maxConnections;
        idle.stream().limit(Math.max(0, surplus)).forEach(connection -> connection.close("others need it"));
    }

    EndpointEntry entry() {
        return entry;
    }

    /** Returns since when the endpoint is known to be leaving. */
    Optional<Duration> drainingSince() {
        return Optional.ofNullable(drainingSince);
    }

    int inFlight() {
        return (int) connections.stream().filter(EndpointConnection::isRunning).count();
    }

    /** Returns an idle connection, if possible one that already has the values of the session. */
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

    /** Returns any idle connection. */
    Optional<EndpointConnection> idleConnection() {
        return connections.stream().filter(EndpointConnection::isIdle).findFirst();
    }

    /** Opens a first connection ahead of any work, as only those that have been open for a while can give evidence. */
    void warmUp() {
        if (connections.isEmpty() && !entry.draining()) {
            openConnection();
        }
    }

    /** Starts to open a connection unless one is being opened, all are open, or the last attempt is too recent. */
    void openConnection() {
        boolean opening = connections.stream().anyMatch(connection -> !connection.isOpen());
        if (opening
                || otherEndpoint
                || connections.size() >= maxConnections
                || loop.now().compareTo(openNotBefore) < 0) {
            return;
        }
        silence.onRequestSent(loop.now());
        try {
            connections.add(EndpointConnection.open(loop, codec, entry, owner));
        } catch (IOException e) {
            LOG.warnf("[session] No connection to %s: %s.", entry.name(), e.getMessage());
            openFailed();
        }
    }

    /** Returns whether a connection could be opened now or soon. */
    boolean isUsable() {
        return !otherEndpoint && (connections.stream().anyMatch(EndpointConnection::isOpen) || !failing);
    }

    void onOpened() {
        backoff.reset();
        failing = false;
        heard();
        lastAnswerSentAt = loop.now();
    }

    private void heard() {
        silence.onResponse(loop.now(), hasPendingRequests());
    }

    /** Returns whether the endpoint owes an answer on any connection. */
    boolean hasPendingRequests() {
        return connections.stream()
                .anyMatch(connection -> connection.pendingSince().isPresent());
    }

    /** Records that a statement was sent on a connection of this pool. */
    void onRequestSent() {
        silence.onRequestSent(loop.now());
    }

    void onClosed(EndpointConnection connection, Optional<EndpointError> refusal) {
        connections.remove(connection);
        if (refusal.isPresent()) {
            heard();
            lastAnswerSentAt = loop.now();
        }
        if (refusal.equals(Optional.of(EndpointError.OTHER_ENDPOINT))) {
            otherEndpoint = true;
            LOG.infof("[session] The address of %s belongs to another endpoint.", entry.name());
        } else if (refusal.isPresent()) {
            openNotBefore = loop.now().plus(FULL_PAUSE);
        } else if (!connection.wasOpen()) {
            openFailed();
        }
    }

    private void openFailed() {
        openNotBefore = loop.now().plus(backoff.nextDelay());
        failing = true;
    }

    static Backoff newBackoff(java.util.random.RandomGenerator random) {
        return Backoff.create(FIRST_BACKOFF, LONGEST_BACKOFF, random);
    }

    void onResponse(EndpointResponse answer) {
        heard();
        if (answer.sentAt().compareTo(lastAnswerSentAt) > 0) {
            lastAnswerSentAt = answer.sentAt();
        }
        answer.position().ifPresent(point -> known = point);
    }

    /** Returns whether the endpoint may hold a position, as far as this daemon knows. */
    boolean mayHaveReached(LogPoint point) {
        return known.compareTo(point) >= 0 || loop.now().compareTo(behindUntil) >= 0;
    }

    void onPositionMissing() {
        behindUntil = loop.now().plus(BEHIND_PAUSE);
    }

    /** Returns whether the endpoint owes answers for long and gave none meanwhile, or cannot be connected to. */
    boolean isUnresponsive() {
        return silence.isUnresponsive(loop.now());
    }

    /** Tries to reach an endpoint that is silent. */
    void probe() {
        if (isUnresponsive() && connections.stream().noneMatch(EndpointConnection::isOpen)) {
            openConnection();
        }
    }

    /** Closes the connections that have gone silent or take too long to open. */
    void closeStalled() {
        Duration now = loop.now();
        for (EndpointConnection connection : List.copyOf(connections)) {
            Optional<Duration> since = connection.pendingSince();
            boolean silent = since.isPresent()
                    && connection.isOpen()
                    && since.get().plus(SILENT_AFTER).compareTo(now) < 0
                    && lastAnswerSentAt.compareTo(since.get().plus(SILENT_AFTER.dividedBy(2))) > 0;
            boolean slow = since.isPresent()
                    && !connection.isOpen()
                    && since.get().plus(OPEN_LIMIT).compareTo(now) < 0;
            if (silent || slow) {
                connection.close(silent ? "it has gone silent" : "it takes too long to open");
            }
        }
    }

    /** Closes connections that nothing uses. */
    void closeIdle() {
        for (EndpointConnection connection : List.copyOf(connections)) {
            if (connection.isIdle() || !connection.isOpen()) {
                connection.close("the endpoint is not used any more");
            }
        }
    }

    List<EndpointConnection> connections() {
        return List.copyOf(connections);
    }
}
