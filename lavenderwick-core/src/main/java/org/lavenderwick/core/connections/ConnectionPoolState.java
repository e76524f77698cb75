package org.lavenderwick.core.connections;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkState;

/**
 * The connections of one owner to one endpoint. Decides which connection a request uses and when one is opened or
 * closed; the caller does the opening and closing and reports what came of it.
 *
 * <ul>
 *   <li>A connection in use belongs to one request until it is released. Only a clean one is used again.
 *   <li>One connection of the share serves control calls, the others serve traffic.
 *   <li>At most one connection is being opened at a time; a failed open is followed by a backoff with jitter.
 *   <li>The most recently used connection is used first, so that the others become idle and can be closed.
 * </ul>
 *
 * <p>Confined to one thread. Each call takes constant time, but for {@link #removeExpiredIdle} and {@link #resize}, which are
 * linear in the connections they close, and {@link #onLost}, which is linear in the idle ones.
 */
public final class ConnectionPoolState {

    /** A connection idle for this long is checked before use, since it may have gone silent in the meantime. */
    public static final Duration CHECK_AFTER_IDLE = Duration.ofSeconds(5);

    private enum Phase {
        OPENING,
        IDLE,
        IN_USE
    }

    private static final class Connection {
        final long id;
        final ConnectionPurpose purpose;
        Phase phase = Phase.OPENING;
        Duration idleSince = Duration.ZERO;

        Connection(long id, ConnectionPurpose purpose) {
            this.id = id;
            this.purpose = purpose;
        }
    }

    private final PoolSizing sizing;
    private final OpenBackoff backoff;
    private final Map<Long, Connection> connections = new HashMap<>();
    private final Deque<Connection> idleTraffic = new ArrayDeque<>();
    private Optional<Connection> control = Optional.empty();
    private Optional<Connection> opening = Optional.empty();
    private Optional<Duration> suspectSince = Optional.empty();
    private int share;
    private long nextId = 1;

    private ConnectionPoolState(PoolSizing sizing, int share, RandomGenerator random) {
        this.sizing = sizing;
        this.share = share;
        this.backoff = new OpenBackoff(random);
    }

    /**
     * Returns a pool without connections.
     *
     * @param sizing decides how many connections are kept
     * @param share highest number of connections, control included; see {@link ConnectionShares}
     * @param random source of the jitter
     */
    public static ConnectionPoolState create(PoolSizing sizing, int share, RandomGenerator random) {
        checkArgument(share >= 0, "share is negative: %s", share);
        return new ConnectionPoolState(sizing, share, random);
    }

    /**
     * Decides what a request does that needs a connection.
     *
     * @param purpose what the connection is for
     * @param mayOpen whether the spending policy lets another connection be opened; asked only if one would be opened
     * @param now monotonic time
     */
    public PoolDecision acquire(ConnectionPurpose purpose, BooleanSupplier mayOpen, Duration now) {
        Optional<Connection> idle = purpose == ConnectionPurpose.CONTROL
                ? control.filter(connection -> connection.phase == Phase.IDLE)
                : Optional.ofNullable(idleTraffic.pollFirst());
        if (idle.isPresent()) {
            Connection connection = idle.get();
            connection.phase = Phase.IN_USE;
            return new PoolDecision.Use(connection.id, needsCheck(connection, now));
        }
        if (opening.isPresent() || !hasRoom(purpose)) {
            return new PoolDecision.Wait(Optional.empty());
        }
        if (!backoff.allows(now)) {
            return new PoolDecision.Wait(Optional.of(backoff.retryAt()));
        }
        return mayOpen.getAsBoolean() ? startOpen(purpose) : new PoolDecision.Wait(Optional.empty());
    }

    /** Returns a connection to open ahead of demand, if the sizing asks for one and it may be opened now. */
    public Optional<PoolDecision.Open> replenish(Duration now) {
        if (!sizing.opensAhead() || opening.isPresent() || !backoff.allows(now)) {
            return Optional.empty();
        }
        if (hasRoom(ConnectionPurpose.CONTROL)) {
            return Optional.of(startOpen(ConnectionPurpose.CONTROL));
        }
        return hasRoom(ConnectionPurpose.TRAFFIC)
                ? Optional.of(startOpen(ConnectionPurpose.TRAFFIC))
                : Optional.empty();
    }

    /** Records that a connection was opened. Returns whether it is kept; otherwise the caller closes it. */
    public boolean onOpened(long id, Duration now) {
        Connection connection = takeOpening(id);
        backoff.succeeded();
        if (connections.size() > share) {
            forget(connection);
            return false;
        }
        addIdle(connection, now);
        return true;
    }

    /** Records that a connection could not be opened. */
    public void onOpenFailed(long id, Duration now) {
        forget(takeOpening(id));
        backoff.failed(now);
    }

    /**
     * Takes back a connection from the request that used it. Returns whether it is kept; otherwise the caller closes
     * it. A connection reported as {@link #onLost} meanwhile is not kept.
     *
     * @throws IllegalStateException if the connection is not in use
     */
    public boolean release(long id, ReleaseState state, Duration now) {
        Connection connection = connections.get(id);
        if (connection == null) {
            return false;
        }
        checkState(connection.phase == Phase.IN_USE, "connection %s is not in use", id);
        if (state == ReleaseState.TIMED_OUT || state == ReleaseState.BROKEN) {
            // Other connections over the same path may have gone silent too, so they are checked before use.
            suspectSince = Optional.of(now);
        }
        if (state != ReleaseState.CLEAN || connections.size() > share) {
            forget(connection);
            return false;
        }
        addIdle(connection, now);
        return true;
    }

    /** Records that a connection broke or was closed by the endpoint. Unknown ids are ignored. */
    public void onLost(long id) {
        Connection connection = connections.get(id);
        if (connection != null && connection.phase != Phase.OPENING) {
            idleTraffic.remove(connection);
            forget(connection);
        }
    }

    /** Removes the traffic connections that have been idle too long, for the caller to close. */
    public List<Long> removeExpiredIdle(Duration now) {
        List<Long> closed = new ArrayList<>();
        Iterator<Connection> longestIdleFirst = idleTraffic.descendingIterator();
        while (longestIdleFirst.hasNext()) {
            Connection connection = longestIdleFirst.next();
            if (!sizing.closesAfter(now.minus(connection.idleSince))) {
                break;
            }
            longestIdleFirst.remove();
            forget(connection);
            closed.add(connection.id);
        }
        return closed;
    }

    /**
     * Changes the share. Returns idle connections above it, for the caller to close; those in use are closed when they
     * are released.
     */
    public List<Long> resize(int newShare) {
        checkArgument(newShare >= 0, "share is negative: %s", newShare);
        share = newShare;
        List<Long> closed = new ArrayList<>();
        while (connections.size() > share && !idleTraffic.isEmpty()) {
            Connection connection = idleTraffic.removeLast();
            forget(connection);
            closed.add(connection.id);
        }
        Optional<Connection> idleControl = control.filter(connection -> connection.phase == Phase.IDLE);
        if (connections.size() > share && idleControl.isPresent()) {
            forget(idleControl.get());
            closed.add(idleControl.get().id);
        }
        return closed;
    }

    /** Returns the number of connections open or being opened. */
    public int connectionCount() {
        return connections.size();
    }

    /** Returns the number of idle traffic connections. */
    public int idleTrafficCount() {
        return idleTraffic.size();
    }

    /** Returns the highest number of connections, control included. */
    public int share() {
        return share;
    }

    /** Returns the highest number of traffic connections. */
    public int trafficShare() {
        return Math.max(0, share - 1);
    }

    private boolean hasRoom(ConnectionPurpose purpose) {
        if (connections.size() >= share) {
            return false;
        }
        int traffic = connections.size() - (control.isPresent() ? 1 : 0);
        return purpose == ConnectionPurpose.CONTROL ? control.isEmpty() : traffic < trafficShare();
    }

    private PoolDecision.Open startOpen(ConnectionPurpose purpose) {
        Connection connection = new Connection(nextId++, purpose);
        connections.put(connection.id, connection);
        opening = Optional.of(connection);
        if (purpose == ConnectionPurpose.CONTROL) {
            control = opening;
        }
        return new PoolDecision.Open(connection.id, purpose);
    }

    private Connection takeOpening(long id) {
        checkState(opening.isPresent() && opening.get().id == id, "connection %s is not being opened", id);
        Connection connection = opening.get();
        opening = Optional.empty();
        return connection;
    }

    private void addIdle(Connection connection, Duration now) {
        connection.phase = Phase.IDLE;
        connection.idleSince = now;
        if (connection.purpose == ConnectionPurpose.TRAFFIC) {
            idleTraffic.addFirst(connection);
        }
    }

    private boolean needsCheck(Connection connection, Duration now) {
        return now.minus(connection.idleSince).compareTo(CHECK_AFTER_IDLE) >= 0
                || suspectSince
                        .filter(since -> connection.idleSince.compareTo(since) <= 0)
                        .isPresent();
    }

    private void forget(Connection connection) {
        connections.remove(connection.id);
        if (connection.purpose == ConnectionPurpose.CONTROL) {
            control = Optional.empty();
        }
    }
}
