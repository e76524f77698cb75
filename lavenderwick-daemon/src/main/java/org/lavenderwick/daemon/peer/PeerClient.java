package org.lavenderwick.daemon.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.google.common.net.HostAndPort;
import io.vavr.control.Either;
import org.apache.thrift.TException;
import org.apache.thrift.async.AsyncMethodCallback;
import org.apache.thrift.async.TAsyncClientManager;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TProtocolFactory;
import org.lavenderwick.protocol.ExchangeRequest;
import org.lavenderwick.protocol.ExchangeResponse;
import org.lavenderwick.protocol.PeerService;
import org.lavenderwick.protocol.RelayRequest;
import org.lavenderwick.protocol.RelayResponse;

/**
 * Calls peers over pooled connections, one call at a time on each. A connection whose call has no answer is closed, and
 * so are the idle connections to the same peer, because they may have gone silent together. Futures complete on other
 * threads than the caller's and never exceptionally. Thread-safe.
 */
public final class PeerClient implements AutoCloseable {
    /** Time for the first byte of a call to leave, which includes the connect; a connect takes a few round trips. */
    private static final Duration SEND_TIMEOUT = Duration.ofMillis(500);
    /** Idle connections kept for each peer. */
    private static final int MAX_IDLE_PER_PEER = 32;
    /** Open connections to one peer; an owner refuses work before so much of it waits there. */
    private static final int MAX_OPEN_PER_PEER = 4_096;

    private final InetAddress localAddress;
    private final ScheduledExecutorService timer;
    private final TAsyncClientManager manager;
    private final TProtocolFactory protocols = new TBinaryProtocol.Factory();
    private final Map<String, Peer> peers = new HashMap<>();

    private PeerClient(InetAddress localAddress, ScheduledExecutorService timer, TAsyncClientManager manager) {
        this.localAddress = localAddress;
        this.timer = timer;
        this.manager = manager;
    }

    /**
     * Returns a client.
     *
     * @param localAddress address to which outgoing connections are bound
     * @param timer runs timeouts
     */
    public static PeerClient create(InetAddress localAddress, ScheduledExecutorService timer) throws IOException {
        return new PeerClient(localAddress, timer, new TAsyncClientManager());
    }

    /** Relays a request to an owner. */
    public CompletableFuture<Either<PeerFailure, RelayResponse>> execute(
            String address, RelayRequest request, Duration timeout) {
        return call(address, timeout, (client, callback) -> client.execute(request, callback));
    }

    /** Exchanges digests and documents with a peer. */
    public CompletableFuture<Either<PeerFailure, ExchangeResponse>> exchange(
            String address, ExchangeRequest request, Duration timeout) {
        return call(address, timeout, (client, callback) -> client.exchange(request, callback));
    }

    /** Closes the idle connections to a peer, so that the next call opens a new one. */
    public void dropIdle(String address) {
        Deque<PeerConnection> dropped;
        synchronized (peers) {
            Peer peer = peers.computeIfAbsent(address, key -> new Peer());
            dropped = new ArrayDeque<>(peer.idle);
            peer.open -= peer.idle.size();
            peer.idle.clear();
        }
        dropped.forEach(PeerConnection::close);
    }

    /** Returns the number of open connections to peers. */
    public int openConnections() {
        synchronized (peers) {
            return peers.values().stream().mapToInt(peer -> peer.open).sum();
        }
    }

    private <T> CompletableFuture<Either<PeerFailure, T>> call(String address, Duration timeout, Method<T> method) {
        CompletableFuture<Either<PeerFailure, T>> result = new CompletableFuture<>();
        PeerConnection connection;
        try {
            connection = take(address);
        } catch (IOException | TException | IllegalArgumentException e) {
            return CompletableFuture.completedFuture(Either.left(PeerFailure.NOT_SENT));
        }
        if (connection == null) {
            return CompletableFuture.completedFuture(Either.left(PeerFailure.TOO_MANY_CALLS));
        }
        connection.nextCall();
        connection.client().setTimeout(Math.max(1, timeout.toMillis()));
        // The send timeout also covers the case that the selector thread of the client does not get to the call.
        var sendCheck = timer.schedule(
                () -> {
                    if (connection.giveUpUnlessSent()) {
                        result.complete(Either.left(PeerFailure.NOT_SENT));
                    }
                },
                Math.min(SEND_TIMEOUT.toMillis(), timeout.toMillis()),
                TimeUnit.MILLISECONDS);
        try {
            method.start(connection.client(), new AsyncMethodCallback<T>() {
                @Override
                public void onComplete(T answer) {
                    sendCheck.cancel(false);
                    release(address, connection);
                    result.complete(Either.right(answer));
                }

                @Override
                public void onError(Exception error) {
                    sendCheck.cancel(false);
                    result.complete(Either.left(fail(address, connection)));
                }
            });
        } catch (TException e) {
            sendCheck.cancel(false);
            result.complete(Either.left(fail(address, connection)));
        }
        return result;
    }

    /** Returns an idle or a new connection, or null if too many are open. */
    private PeerConnection take(String address) throws IOException, TException {
        while (true) {
            PeerConnection idle;
            synchronized (peers) {
                Peer peer = peers.computeIfAbsent(address, key -> new Peer());
                idle = peer.idle.pollFirst();
                if (idle == null) {
                    if (peer.open >= MAX_OPEN_PER_PEER) {
                        return null;
                    }
                    peer.open++;
                }
            }
            if (idle == null) {
                return connect(address);
            }
            if (idle.usable()) {
                return idle;
            }
            discard(address, idle);
        }
    }

    private PeerConnection connect(String address) throws IOException, TException {
        try {
            HostAndPort target = HostAndPort.fromString(address);
            PeerConnection connection =
                    PeerConnection.create(new InetSocketAddress(target.getHost(), target.getPort()), localAddress);
            connection.attach(new PeerService.AsyncClient(protocols, manager, connection));
            return connection;
        } catch (IOException | TException | RuntimeException e) {
            synchronized (peers) {
                peers.computeIfAbsent(address, key -> new Peer()).open--;
            }
            throw e;
        }
    }

    private void release(String address, PeerConnection connection) {
        boolean kept;
        synchronized (peers) {
            Peer peer = peers.computeIfAbsent(address, key -> new Peer());
            kept = peer.idle.size() < MAX_IDLE_PER_PEER && !connection.client().hasError();
            if (kept) {
                peer.idle.addFirst(connection);
            }
        }
        if (!kept) {
            discard(address, connection);
        }
    }

    private PeerFailure fail(String address, PeerConnection connection) {
        boolean unsent = connection.giveUp();
        discard(address, connection);
        dropIdle(address);
        return unsent ? PeerFailure.NOT_SENT : PeerFailure.NO_ANSWER;
    }

    private void discard(String address, PeerConnection connection) {
        connection.close();
        synchronized (peers) {
            peers.computeIfAbsent(address, key -> new Peer()).open--;
        }
    }

    @Override
    public void close() {
        manager.stop();
        synchronized (peers) {
            peers.values().forEach(peer -> peer.idle.forEach(PeerConnection::close));
            peers.clear();
        }
    }

    @FunctionalInterface
    private interface Method<T> {
        void start(PeerService.AsyncClient client, AsyncMethodCallback<T> callback) throws TException;
    }

    private static final class Peer {
        private final Deque<PeerConnection> idle = new ArrayDeque<>();
        private int open;
    }
}
