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
 * The connections of an owner to one endpoint. Performs what {@link ConnectionPoolState} decides. Confined to the event
 * loop of the group.
 */
final class EndpointConnectionPool {
    /** Time for the check of an idle connection, a round trip without work. */
    private static final Duration VALIDATION_TIMEOUT = Duration.ofMillis(300);

    /** Time during which an endpoint that could not be reached gets no work. */
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
            ConnectionPoolState pool,
            EventLoop loop,
            InstantSource wallClock,
            EndpointPoolListener events) {
        this.settings = settings;
        this.port = port;
        this.connectTimeout = connectTimeout;
        this.poolState = pool;
        this.loop = loop;
        this.wallClock = wallClock;
        this.listener = events;
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

    /** Returns the wall time of the last answer. */
    Instant lastStatusTime() {
        return lastStatusTime;
    }

    boolean isReachable() {
        return loop.now().compareTo(unreachableUntil) >= 0;
    }

    /** Returns the number of traffic connections open or being opened. */
    int trafficConnections() {
        return trafficIds.size();
    }

    /** Returns whether a traffic connection is idle that nobody waits for. */
    boolean hasIdleConnection() {
        return poolState.idleTrafficCount()
                > waiters.get(ConnectionPurpose.TRAFFIC).size();
    }

    /** Returns whether one more request may wait for a new connection: one opens at a time. */
    boolean canOpenTrafficConnection() {
        return waiters.get(ConnectionPurpose.TRAFFIC).isEmpty()
                && trafficConnections() < poolState.trafficShare()
                && !closed;
    }

    /** Gives a traffic connection to the consumer, or a failure if none can be had; nothing was sent then. */
    void acquire(Consumer<Either<Failure, Long>> consumer) {
        acquire(ConnectionPurpose.TRAFFIC, consumer);
    }

    EndpointConnection connection(long id) {
        return connections.get(id);
    }

    /** Takes a connection back. */
    void release(long id, ReleaseState state) {
        if (state == ReleaseState.TIMED_OUT || state == ReleaseState.BROKEN) {
            LOG.debugf("[endpoint] %s: connection %d ends as %s.", settings.name(), id, state);
        }
        if (!poolState.release(id, state, loop.now())) {
            closeConnection(id);
        }
        serveWaiters();
        listener.onConnectionAvailable();
    }

    /** Makes a control call and hands its status to the consumer and to the events. */
    void callOnControlConnection(
            Function<EndpointConnection, CompletableFuture<Either<Failure, EndpointStatus>>> call,
            Consumer<Either<Failure, EndpointStatus>> consumer) {
        acquire(ConnectionPurpose.CONTROL, acquired -> {
            if (acquired.isLeft()) {
                consumer.accept(Either.left(acquired.getLeft()));
                return;
            }
            long id = acquired.get();
            Duration askedAt = loop.now();
            loop.deliver(call.apply(connections.get(id)), answer -> {
                if (answer.isRight()) {
                    recordStatus(answer.get(), askedAt);
                } else {
                    markUnreachable();
                }
                release(id, answer.isRight() ? ReleaseState.CLEAN : ReleaseState.TIMED_OUT);
                consumer.accept(answer);
            });
        });
    }

    /** Records the status in an answer to a question that was sent at the given time. */
    void recordStatus(EndpointStatus status, Duration askedAt) {
        lastStatus = Optional.of(status);
        lastStatusTime = wallClock.instant();
        unreachableUntil = Duration.ZERO;
        listener.onStatus(status, askedAt);
    }

    void markUnreachable() {
        unreachableUntil = loop.now().plus(UNREACHABLE_DURATION);
    }

    /** Changes the share of the connections. */
    void resize(int share) {
        poolState.resize(share).forEach(this::closeConnection);
        serveWaiters();
    }

    /** Closes connections that have been idle too long. */
    void closeExpiredIdle() {
        poolState.removeExpiredIdle(loop.now()).forEach(this::closeConnection);
    }

    /** Opens connections ahead of demand where the sizing asks for it. */
    void replenish() {
        if (!closed) {
            poolState.replenish(loop.now()).ifPresent(this::open);
        }
    }

    /** Closes all connections; requests on them end without an answer. */
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
            use(purpose, use, consumer);
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

    private void use(ConnectionPurpose purpose, PoolDecision.Use use, Consumer<Either<Failure, Long>> consumer) {
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
        Duration askedAt = loop.now();
        loop.deliver(connection.status(VALIDATION_TIMEOUT), answer -> {
            if (answer.isRight()) {
                recordStatus(answer.get(), askedAt);
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
        loop.deliver(port.connect(settings, connectTimeout), answer -> {
            if (answer.isRight()) {
                onOpened(open.connection(), answer.get());
            } else {
                poolState.onOpenFailed(open.connection(), loop.now());
                trafficIds.remove(open.connection());
                LOG.debugf(
                        "[endpoint] %s: %s", settings.name(), answer.getLeft().detail());
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

    /** Serves waiting requests as far as connections are free, and opens the next one for those that still wait. */
    private void serveWaiters() {
        for (ConnectionPurpose purpose : List.of(ConnectionPurpose.CONTROL, ConnectionPurpose.TRAFFIC)) {
            Deque<Consumer<Either<Failure, Long>>> queue = waiters.get(purpose);
            while (!queue.isEmpty() && !closed) {
                PoolDecision decision = poolState.acquire(purpose, () -> true, loop.now());
                if (decision instanceof PoolDecision.Use use) {
                    use(purpose, use, queue.poll());
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
