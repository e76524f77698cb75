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
 * An RPC client for peers that uses pooled connections, with one call at a time on each. If a call fails or times out,
 * its connection is closed together with the idle connections to the same peer, because packets on all of them may be
 * dropped silently. The returned futures never complete exceptionally and, unless a call fails immediately, complete on
 * another thread than the caller's. Thread-safe.
 */
public final class PeerClient implements AutoCloseable {
    /**
     * Maximum time until the first byte of a call is sent. It includes opening a connection, which takes a few round
     * trips.
     */
    private static final Duration SEND_TIMEOUT = Duration.ofMillis(500);

    /** Maximum number of idle connections that are kept for each peer. */
    private static final int MAX_IDLE_PER_PEER = 32;

    /** Maximum number of open connections to each peer; an owner rejects work before this many requests wait there. */
    private static final int MAX_OPEN_PER_PEER = 4_096;

    private final InetAddress localAddress;
    private final ScheduledExecutorService timer;
    private final TAsyncClientManager manager;
    private final TProtocolFactory protocols = new TBinaryProtocol.Factory();

    /** Connections by the address of the peer; also the lock for them. */
    private final Map<String, PeerConnections> peers = new HashMap<>();

    private PeerClient(InetAddress localAddress, ScheduledExecutorService timer, TAsyncClientManager manager) {
        this.localAddress = localAddress;
        this.timer = timer;
        this.manager = manager;
    }

    /**
     * Returns a client without open connections.
     *
     * @param localAddress local address of the outgoing connections
     * @param timer executor that runs the send timeouts
     */
    public static PeerClient create(InetAddress localAddress, ScheduledExecutorService timer) throws IOException {
        return new PeerClient(localAddress, timer, new TAsyncClientManager());
    }

    /** Relays a request to an owner of its group and returns its response, or why there is none. */
    public CompletableFuture<Either<PeerFailure, RelayResponse>> execute(
            String address, RelayRequest request, Duration timeout) {
        return call(address, timeout, (client, callback) -> client.execute(request, callback));
    }

    /** Exchanges digests and shared documents with a peer and returns its response, or why there is none. */
    public CompletableFuture<Either<PeerFailure, ExchangeResponse>> exchange(
            String address, ExchangeRequest request, Duration timeout) {
        return call(address, timeout, (client, callback) -> client.exchange(request, callback));
    }

    /** Closes the idle connections to a peer, so that the next call uses a new connection. */
    public void closeIdleConnections(String address) {
        Deque<PeerConnection> closing;
        synchronized (peers) {
            PeerConnections peer = peers.computeIfAbsent(address, key -> new PeerConnections());
            closing = new ArrayDeque<>(peer.idle);
            peer.openCount -= peer.idle.size();
            peer.idle.clear();
        }
        closing.forEach(PeerConnection::close);
    }

    /** Returns the number of open connections to peers. */
    public int openConnections() {
        synchronized (peers) {
            return peers.values().stream().mapToInt(peer -> peer.openCount).sum();
        }
    }

    private <T> CompletableFuture<Either<PeerFailure, T>> call(String address, Duration timeout, RpcMethod<T> method) {
        CompletableFuture<Either<PeerFailure, T>> result = new CompletableFuture<>();
        PeerConnection connection;
        try {
            connection = acquire(address);
        } catch (IOException | TException | IllegalArgumentException e) {
            return CompletableFuture.completedFuture(Either.left(PeerFailure.NOT_SENT));
        }
        if (connection == null) {
            return CompletableFuture.completedFuture(Either.left(PeerFailure.TOO_MANY_CALLS));
        }
        connection.beginCall();
        connection.client().setTimeout(Math.max(1, timeout.toMillis()));
        // The send timeout also takes effect if the selector thread of the client is too busy to start the call.
        var sendTimeout = timer.schedule(
                () -> {
                    if (connection.abortIfUnsent()) {
                        result.complete(Either.left(PeerFailure.NOT_SENT));
                    }
                },
                Math.min(SEND_TIMEOUT.toMillis(), timeout.toMillis()),
                TimeUnit.MILLISECONDS);
        try {
            method.invoke(connection.client(), new AsyncMethodCallback<T>() {
                @Override
                public void onComplete(T response) {
                    sendTimeout.cancel(false);
                    release(address, connection);
                    result.complete(Either.right(response));
                }

                @Override
                public void onError(Exception error) {
                    sendTimeout.cancel(false);
                    result.complete(Either.left(closeFailed(address, connection)));
                }
            });
        } catch (TException e) {
            sendTimeout.cancel(false);
            result.complete(Either.left(closeFailed(address, connection)));
        }
        return result;
    }

    /** Returns an idle or a new connection, or null if the maximum number of connections is open. */
    private PeerConnection acquire(String address) throws IOException, TException {
        while (true) {
            PeerConnection idle;
            synchronized (peers) {
                PeerConnections peer = peers.computeIfAbsent(address, key -> new PeerConnections());
                idle = peer.idle.pollFirst();
                if (idle == null) {
                    if (peer.openCount >= MAX_OPEN_PER_PEER) {
                        return null;
                    }
                    peer.openCount++;
                }
            }
            if (idle == null) {
                return connect(address);
            }
            if (idle.isReusable()) {
                return idle;
            }
            discard(address, idle);
        }
    }

    private PeerConnection connect(String address) throws IOException, TException {
        try {
            HostAndPort hostAndPort = HostAndPort.fromString(address);
            PeerConnection connection = PeerConnection.create(
                    new InetSocketAddress(hostAndPort.getHost(), hostAndPort.getPort()), localAddress);
            connection.setClient(new PeerService.AsyncClient(protocols, manager, connection));
            return connection;
        } catch (IOException | TException | RuntimeException e) {
            synchronized (peers) {
                peers.computeIfAbsent(address, key -> new PeerConnections()).openCount--;
            }
            throw e;
        }
    }

    private void release(String address, PeerConnection connection) {
        boolean reuse;
        synchronized (peers) {
            PeerConnections peer = peers.computeIfAbsent(address, key -> new PeerConnections());
            reuse = peer.idle.size() < MAX_IDLE_PER_PEER && !connection.client().hasError();
            if (reuse) {
                peer.idle.addFirst(connection);
            }
        }
        if (!reuse) {
            discard(address, connection);
        }
    }

    /** Aborts a failed call, closes its connection and the idle ones to the same peer, and returns the failure. */
    private PeerFailure closeFailed(String address, PeerConnection connection) {
        boolean notSent = connection.abort();
        discard(address, connection);
        closeIdleConnections(address);
        return notSent ? PeerFailure.NOT_SENT : PeerFailure.NO_ANSWER;
    }

    private void discard(String address, PeerConnection connection) {
        connection.close();
        synchronized (peers) {
            peers.computeIfAbsent(address, key -> new PeerConnections()).openCount--;
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
    private interface RpcMethod<T> {
        void invoke(PeerService.AsyncClient client, AsyncMethodCallback<T> callback) throws TException;
    }

    private static final class PeerConnections {
        private final Deque<PeerConnection> idle = new ArrayDeque<>();
        private int openCount;
    }
}
