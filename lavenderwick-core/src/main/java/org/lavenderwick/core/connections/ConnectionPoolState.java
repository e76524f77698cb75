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
 * The state machine of a connection pool, which holds the connections of one daemon to one endpoint. It performs no
 * I/O: it decides which connection a request uses and when connections are opened and closed, and the caller opens and
 * closes them and reports the results.
 *
 * <ul>
 *   <li>A connection in use belongs to one request until it is released. It is reused only if it is released as {@link
 *       ReleaseState#CLEAN}.
 *   <li>The share is the highest number of connections. One of them is reserved for control calls; the others serve
 *       traffic.
 *   <li>At most one connection is being opened at a time. A failed attempt is followed by a backoff with jitter.
 *   <li>The most recently used connection is reused first, so that the others stay idle and can be closed.
 * </ul>
 *
 * <p>Not thread-safe. {@link #removeExpiredIdle} and {@link #resize} take linear time in the number of connections they
 * remove, and {@link #onLost} in the number of idle connections. All other calls take constant time.
 */
public final class ConnectionPoolState {

    /** Idle time from which a connection is validated before use, because it may have been lost unnoticed. */
    public static final Duration VALIDATION_IDLE_TIME = Duration.ofSeconds(5);

    private enum State {
        OPENING,
        IDLE,
        IN_USE
    }

    private static final class Connection {
        final long id;
        final ConnectionPurpose purpose;
        State state = State.OPENING;
        Duration idleSince = Duration.ZERO;

        Connection(long id, ConnectionPurpose purpose) {
            this.id = id;
            this.purpose = purpose;
        }
    }

    private final PoolSizing sizing;
    private final ConnectBackoff backoff;
    private final Map<Long, Connection> connections = new HashMap<>();
    private final Deque<Connection> idleTraffic = new ArrayDeque<>();
    private Optional<Connection> control = Optional.empty();
    private Optional<Connection> opening = Optional.empty();
    private Optional<Duration> lastFailure = Optional.empty();
    private int share;
    private long nextId = 1;

    private ConnectionPoolState(PoolSizing sizing, int share, RandomGenerator random) {
        this.sizing = sizing;
        this.share = share;
        this.backoff = new ConnectBackoff(random);
    }

    /**
     * Creates a pool without connections.
     *
     * @param sizing policy for opening and closing connections
     * @param share highest number of connections, including the control connection; see {@link ConnectionShares}
     * @param random source of randomness for the backoff jitter
     */
    public static ConnectionPoolState create(PoolSizing sizing, int share, RandomGenerator random) {
        checkArgument(share >= 0, "share must not be negative: %s", share);
        return new ConnectionPoolState(sizing, share, random);
    }

    /**
     * Returns what a request that needs a connection must do: use an idle connection, open one or wait.
     *
     * @param purpose purpose of the connection
     * @param mayOpen whether the spending policy permits another connection; evaluated only if one would be opened
     * @param now current time of the monotonic clock
     */
    public PoolDecision acquire(ConnectionPurpose purpose, BooleanSupplier mayOpen, Duration now) {
        Optional<Connection> idle = purpose == ConnectionPurpose.CONTROL
                ? control.filter(connection -> connection.state == State.IDLE)
                : Optional.ofNullable(idleTraffic.pollFirst());
        if (idle.isPresent()) {
            Connection connection = idle.get();
            connection.state = State.IN_USE;
            return new PoolDecision.Use(connection.id, needsValidation(connection, now));
        }
        if (opening.isPresent() || !hasCapacity(purpose)) {
            return new PoolDecision.Wait(Optional.empty());
        }
        if (!backoff.allowsAttempt(now)) {
            return new PoolDecision.Wait(Optional.of(backoff.retryAt()));
        }
        return mayOpen.getAsBoolean() ? startOpen(purpose) : new PoolDecision.Wait(Optional.empty());
    }

    /**
     * Returns a connection to open before a request needs it. Returns empty if the sizing does not open connections
     * eagerly, the share is used up, another connection is being opened, or a backoff is in progress.
     */
    public Optional<PoolDecision.Open> replenish(Duration now) {
        if (!sizing.opensEagerly() || opening.isPresent() || !backoff.allowsAttempt(now)) {
            return Optional.empty();
        }
        if (hasCapacity(ConnectionPurpose.CONTROL)) {
            return Optional.of(startOpen(ConnectionPurpose.CONTROL));
        }
        return hasCapacity(ConnectionPurpose.TRAFFIC)
                ? Optional.of(startOpen(ConnectionPurpose.TRAFFIC))
                : Optional.empty();
    }

    /**
     * Records that a connection was opened. Returns whether the pool keeps it; if not, the caller must close it.
     *
     * @throws IllegalStateException if the connection is not being opened
     */
    public boolean onOpened(long id, Duration now) {
        Connection connection = finishOpening(id);
        backoff.recordSuccess();
        if (connections.size() > share) {
            remove(connection);
            return false;
        }
        addIdle(connection, now);
        return true;
    }

    /**
     * Records that a connection could not be opened, and starts a backoff.
     *
     * @throws IllegalStateException if the connection is not being opened
     */
    public void onOpenFailed(long id, Duration now) {
        remove(finishOpening(id));
        backoff.recordFailure(now);
    }

    /**
     * Releases a connection after use. Returns whether the pool keeps it; if not, the caller must close it. The pool
     * does not keep a connection that was reported to {@link #onLost} while in use.
     *
     * @throws IllegalStateException if the connection is not in use
     */
    public boolean release(long id, ReleaseState state, Duration now) {
        Connection connection = connections.get(id);
        if (connection == null) {
            return false;
        }
        checkState(connection.state == State.IN_USE, "connection %s is not in use", id);
        if (state == ReleaseState.TIMED_OUT || state == ReleaseState.BROKEN) {
            // The cause, such as a network failure, may affect the idle connections too, so validate them before use.
            lastFailure = Optional.of(now);
        }
        if (state != ReleaseState.CLEAN || connections.size() > share) {
            remove(connection);
            return false;
        }
        addIdle(connection, now);
        return true;
    }

    /** Records that a connection failed or was closed by the endpoint. Ignores ids that are not in the pool. */
    public void onLost(long id) {
        Connection connection = connections.get(id);
        if (connection != null && connection.state != State.OPENING) {
            idleTraffic.remove(connection);
            remove(connection);
        }
    }

    /**
     * Removes the traffic connections that the sizing closes because of their idle time. Returns their ids; the caller
     * must close them.
     */
    public List<Long> removeExpiredIdle(Duration now) {
        List<Long> removed = new ArrayList<>();
        Iterator<Connection> longestIdleFirst = idleTraffic.descendingIterator();
        while (longestIdleFirst.hasNext()) {
            Connection connection = longestIdleFirst.next();
            if (!sizing.closesAfter(now.minus(connection.idleSince))) {
                break;
            }
            longestIdleFirst.remove();
            remove(connection);
            removed.add(connection.id);
        }
        return removed;
    }

    /**
     * Changes the share and removes idle connections that exceed it. Returns their ids; the caller must close them.
     * Excess connections in use are removed when they are released.
     */
    public List<Long> resize(int newShare) {
        checkArgument(newShare >= 0, "share must not be negative: %s", newShare);
        share = newShare;
        List<Long> removed = new ArrayList<>();
        while (connections.size() > share && !idleTraffic.isEmpty()) {
            Connection connection = idleTraffic.removeLast();
            remove(connection);
            removed.add(connection.id);
        }
        Optional<Connection> idleControl = control.filter(connection -> connection.state == State.IDLE);
        if (connections.size() > share && idleControl.isPresent()) {
            remove(idleControl.get());
            removed.add(idleControl.get().id);
        }
        return removed;
    }

    /** Returns the number of connections that are open or being opened. */
    public int connectionCount() {
        return connections.size();
    }

    /** Returns the number of idle traffic connections. */
    public int idleTrafficCount() {
        return idleTraffic.size();
    }

    /** Returns the highest number of connections, including the control connection. */
    public int share() {
        return share;
    }

    /** Returns the highest number of traffic connections. */
    public int trafficShare() {
        return Math.max(0, share - 1);
    }

    private boolean hasCapacity(ConnectionPurpose purpose) {
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

    private Connection finishOpening(long id) {
        checkState(opening.isPresent() && opening.get().id == id, "connection %s is not being opened", id);
        Connection connection = opening.get();
        opening = Optional.empty();
        return connection;
    }

    private void addIdle(Connection connection, Duration now) {
        connection.state = State.IDLE;
        connection.idleSince = now;
        if (connection.purpose == ConnectionPurpose.TRAFFIC) {
            idleTraffic.addFirst(connection);
        }
    }

    private boolean needsValidation(Connection connection, Duration now) {
        return now.minus(connection.idleSince).compareTo(VALIDATION_IDLE_TIME) >= 0
                || lastFailure
                        .filter(failure -> connection.idleSince.compareTo(failure) <= 0)
                        .isPresent();
    }

    private void remove(Connection connection) {
        connections.remove(connection.id);
        if (connection.purpose == ConnectionPurpose.CONTROL) {
            control = Optional.empty();
        }
    }
}
