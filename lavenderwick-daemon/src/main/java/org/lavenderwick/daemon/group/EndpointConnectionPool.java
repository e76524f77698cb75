package org.lavenderwick.daemon.group;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

import com.google.common.collect.Comparators;
import io.vavr.control.Either;
import org.jboss.logging.Logger;
import org.lavenderwick.adapters.endpoint.EndpointConnection;
import org.lavenderwick.adapters.endpoint.EndpointPort;
import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.connections.ConnectionPoolState;
import org.lavenderwick.core.connections.ConnectionPurpose;
import org.lavenderwick.core.connections.PoolDecision;
import org.lavenderwick.core.connections.ReleaseState;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;

/**
 * Pool of the connections from one owner of a group to one endpoint. Opens, validates and closes connections as decided
 * by {@link ConnectionPoolState}. Confined to the event loop of the group.
 */
final class EndpointConnectionPool {
    /** Timeout for validating an idle connection; validation is a round trip that runs no statement. */
    private static final Duration VALIDATION_TIMEOUT = Duration.ofMillis(300);

    /** Time for which an endpoint that could not be reached is sent no work. */
    private static final Duration UNREACHABLE_DURATION = Duration.ofMillis(500);

    private static final Logger LOG = Logger.getLogger(EndpointConnectionPool.class);

    private final EndpointSettings settings;
    private final EndpointPort port;
    private final Duration connectTimeout;
    private final ConnectionPoolState poolState;
    private final EventLoop loop;
    private final InstantSource wallClock;
    private final EndpointPoolListener listener;
    private final Map<Long, EndpointConnection> connections = new HashMap<>();
    private final Set<Long> trafficIds = new HashSet<>();
    private final Map<ConnectionPurpose, Deque<Consumer<Either<Failure, Long>>>> waiters =
            Map.of(ConnectionPurpose.CONTROL, new ArrayDeque<>(), ConnectionPurpose.TRAFFIC, new ArrayDeque<>());
    private Optional<EndpointStatus> lastStatus = Optional.empty();
    private Instant lastStatusTime = Instant.EPOCH;
    private Duration unreachableUntil = Duration.ZERO;
    private boolean closed;

    EndpointConnectionPool(
            EndpointSettings settings,
            EndpointPort port,
            Duration connectTimeout,
            ConnectionPoolState poolState,
            EventLoop loop,
            InstantSource wallClock,
            EndpointPoolListener listener) {
        this.settings = settings;
        this.port = port;
        this.connectTimeout = connectTimeout;
        this.poolState = poolState;
        this.loop = loop;
        this.wallClock = wallClock;
        this.listener = listener;
    }

    EndpointSettings settings() {
        return settings;
    }

    ConnectionPoolState poolState() {
        return poolState;
    }

    Optional<EndpointStatus> lastStatus() {
        return lastStatus;
    }

    /** Returns the wall time at which {@link #lastStatus} was received, or the epoch if there is none. */
    Instant lastStatusTime() {
        return lastStatusTime;
    }

    boolean isReachable() {
        return loop.now().compareTo(unreachableUntil) >= 0;
    }

    /** Returns the number of traffic connections that are open or being opened. */
    int trafficConnections() {
        return trafficIds.size();
    }

    /** Returns whether there are more idle traffic connections than requests waiting for one. */
    boolean hasIdleConnection() {
        return poolState.idleTrafficCount()
                > waiters.get(ConnectionPurpose.TRAFFIC).size();
    }

    /**
     * Returns whether a request may wait for a new traffic connection. Only one request waits at a time, and the share
     * of connections must not be used up.
     */
    boolean canOpenTrafficConnection() {
        return waiters.get(ConnectionPurpose.TRAFFIC).isEmpty()
                && trafficConnections() < poolState.trafficShare()
                && !closed;
    }

    /**
     * Passes the id of a traffic connection to the consumer, or a failure if none is available. On failure nothing has
     * been sent to the endpoint.
     */
    void acquire(Consumer<Either<Failure, Long>> consumer) {
        acquire(ConnectionPurpose.TRAFFIC, consumer);
    }

    /** Returns the open connection with the given id, or null if there is none. */
    EndpointConnection connection(long id) {
        return connections.get(id);
    }

    /** Returns a connection to the pool, which closes it if it cannot be reused. */
    void release(long id, ReleaseState state) {
        if (state == ReleaseState.TIMED_OUT || state == ReleaseState.BROKEN) {
            LOG.debugf(
                    "[endpoint] %s: connection %d was released as %s and is not reused.", settings.name(), id, state);
        }
        if (!poolState.release(id, state, loop.now())) {
            closeConnection(id);
        }
        serveWaiters();
        listener.onConnectionAvailable();
    }

    /** Makes a call on a control connection and passes the returned status to the consumer and to the listener. */
    void callOnControlConnection(
            Function<EndpointConnection, CompletableFuture<Either<Failure, EndpointStatus>>> call,
            Consumer<Either<Failure, EndpointStatus>> consumer) {
        acquire(ConnectionPurpose.CONTROL, acquired -> {
            if (acquired.isLeft()) {
                consumer.accept(Either.left(acquired.getLeft()));
                return;
            }
            long id = acquired.get();
            Duration sentAt = loop.now();
            loop.deliver(call.apply(connections.get(id)), response -> {
                if (response.isRight()) {
                    recordStatus(response.get(), sentAt);
                } else {
                    markUnreachable();
                }
                release(id, response.isRight() ? ReleaseState.CLEAN : ReleaseState.TIMED_OUT);
                consumer.accept(response);
            });
        });
    }

    /** Records the status in the response to a request that was sent at the given monotonic time. */
    void recordStatus(EndpointStatus status, Duration sentAt) {
        lastStatus = Optional.of(status);
        lastStatusTime = wallClock.instant();
        unreachableUntil = Duration.ZERO;
        listener.onStatus(status, sentAt);
    }

    void markUnreachable() {
        unreachableUntil = loop.now().plus(UNREACHABLE_DURATION);
    }

    /** Sets the number of connections that this owner may open, and closes those above it as they become idle. */
    void resize(int share) {
        poolState.resize(share).forEach(this::closeConnection);
        serveWaiters();
    }

    /** Closes connections that have exceeded the idle timeout. */
    void closeExpiredIdle() {
        poolState.removeExpiredIdle(loop.now()).forEach(this::closeConnection);
    }

    /** Opens a connection ahead of demand if the sizing policy asks for it. */
    void replenish() {
        if (!closed) {
            poolState.replenish(loop.now()).ifPresent(this::open);
        }
    }

    /** Closes all connections; requests in flight on them end without a response. */
    void close() {
        closed = true;
        resize(0);
        List.copyOf(connections.keySet()).forEach(this::closeConnection);
        failWaiters(ConnectionPurpose.TRAFFIC);
        failWaiters(ConnectionPurpose.CONTROL);
    }

    private void acquire(ConnectionPurpose purpose, Consumer<Either<Failure, Long>> consumer) {
        if (closed) {
            consumer.accept(Either.left(noConnection()));
            return;
        }
        PoolDecision decision = poolState.acquire(purpose, () -> true, loop.now());
        if (decision instanceof PoolDecision.Use use) {
            handOut(purpose, use, consumer);
        } else if (decision instanceof PoolDecision.Open open) {
            waiters.get(purpose).add(consumer);
            open(open);
        } else if (((PoolDecision.Wait) decision).retryAt().isPresent()) {
            unreachableUntil = Comparators.max(
                    unreachableUntil, ((PoolDecision.Wait) decision).retryAt().get());
            consumer.accept(Either.left(noConnection()));
        } else {
            waiters.get(purpose).add(consumer);
        }
    }

    /** Passes a connection on to the consumer, or acquires another one if it is closed or fails its validation. */
    private void handOut(ConnectionPurpose purpose, PoolDecision.Use use, Consumer<Either<Failure, Long>> consumer) {
        long id = use.connection();
        EndpointConnection connection = connections.get(id);
        if (!connection.open()) {
            release(id, ReleaseState.BROKEN);
            acquire(purpose, consumer);
            return;
        }
        if (!use.validateFirst()) {
            consumer.accept(Either.right(id));
            return;
        }
        Duration sentAt = loop.now();
        loop.deliver(connection.status(VALIDATION_TIMEOUT), response -> {
            if (response.isRight()) {
                recordStatus(response.get(), sentAt);
                consumer.accept(Either.right(id));
            } else {
                release(id, ReleaseState.TIMED_OUT);
                acquire(purpose, consumer);
            }
        });
    }

    private void open(PoolDecision.Open open) {
        if (open.purpose() == ConnectionPurpose.TRAFFIC) {
            trafficIds.add(open.connection());
        }
        listener.onConnectionCountChanged();
        loop.deliver(port.connect(settings, connectTimeout), response -> {
            if (response.isRight()) {
                onOpened(open.connection(), response.get());
            } else {
                poolState.onOpenFailed(open.connection(), loop.now());
                trafficIds.remove(open.connection());
                LOG.debugf(
                        "[endpoint] %s: connecting failed; no work is sent to the endpoint for %d ms: %s",
                        settings.name(),
                        UNREACHABLE_DURATION.toMillis(),
                        response.getLeft().detail());
                markUnreachable();
                failWaiters(open.purpose());
                serveWaiters();
            }
            listener.onConnectionCountChanged();
        });
    }

    private void onOpened(long id, EndpointConnection connection) {
        if (closed || !poolState.onOpened(id, loop.now())) {
            connection.close();
            trafficIds.remove(id);
            if (closed) {
                poolState.onLost(id);
            }
            failWaiters(ConnectionPurpose.TRAFFIC);
            return;
        }
        unreachableUntil = Duration.ZERO;
        connections.put(id, connection);
        serveWaiters();
    }

    /** Hands idle connections to waiting requests and opens a connection if requests are still waiting. */
    private void serveWaiters() {
        for (ConnectionPurpose purpose : List.of(ConnectionPurpose.CONTROL, ConnectionPurpose.TRAFFIC)) {
            Deque<Consumer<Either<Failure, Long>>> queue = waiters.get(purpose);
            while (!queue.isEmpty() && !closed) {
                PoolDecision decision = poolState.acquire(purpose, () -> true, loop.now());
                if (decision instanceof PoolDecision.Use use) {
                    handOut(purpose, use, queue.poll());
                } else {
                    if (decision instanceof PoolDecision.Open open) {
                        open(open);
                    } else if (((PoolDecision.Wait) decision).retryAt().isPresent()) {
                        failWaiters(purpose);
                    }
                    break;
                }
            }
        }
    }

    private void failWaiters(ConnectionPurpose purpose) {
        Deque<Consumer<Either<Failure, Long>>> queue = waiters.get(purpose);
        List<Consumer<Either<Failure, Long>>> failed = List.copyOf(queue);
        queue.clear();
        failed.forEach(consumer -> consumer.accept(Either.left(noConnection())));
    }

    private void closeConnection(long id) {
        EndpointConnection connection = connections.remove(id);
        trafficIds.remove(id);
        if (connection != null) {
            connection.close();
            listener.onConnectionCountChanged();
        }
    }

    private Failure noConnection() {
        return Failure.of(
                ErrorKind.NO_ELIGIBLE_ENDPOINT, "No connection to endpoint " + settings.name() + " can be had.");
    }
}
