package org.lavenderwick.benchmarks.slopes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.ToDoubleFunction;

import io.vavr.control.Either;
import org.lavenderwick.adapters.caller.CallerRefusal;
import org.lavenderwick.adapters.caller.CallerServer;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.daemon.peer.PeerClient;
import org.lavenderwick.daemon.peer.PeerHandler;
import org.lavenderwick.daemon.peer.PeerServer;
import org.lavenderwick.protocol.ExchangeRequest;
import org.lavenderwick.protocol.ExchangeResponse;
import org.lavenderwick.protocol.RelayRequest;
import org.lavenderwick.protocol.RelayResponse;
import org.lavenderwick.protocol.WireDigest;

/** Memory of idle connections: of callers, each after one request, and between daemons, each after one exchange. */
final class ConnectionSlopes {
    private static final int[] CALLERS = {1_000, 2_000, 4_000};
    private static final int[] PEERS = {60, 240, 720};
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int BUFFER_BYTES = 4_096;
    private static final int MAX_BODY_BYTES = 100_000;
    private static final byte[] REQUEST = request();

    private final Sampler sampler;

    ConnectionSlopes(Sampler sampler) {
        this.sampler = sampler;
    }

    List<Series> all() {
        return List.of(
                series("caller connections, both ends", CALLERS, ConnectionSlopes::callers),
                series("plain connections, both ends", CALLERS, ConnectionSlopes::plain),
                series("connections between daemons, both ends", PEERS, ConnectionSlopes::peers));
    }

    private Series series(String name, int[] sizes, ToDoubleFunction<Integer> measured) {
        // The first run loads classes and fills pools; it does not count.
        freed(sizes[0], measured);
        List<Point> points = new ArrayList<>();
        for (int size : sizes) {
            points.add(sampler.point(size, run -> freed(size, measured)));
        }
        return new Series(name, "bytes of memory", "connections", points);
    }

    /** Returns the bytes that become free when the connections and their server are closed. */
    private static double freed(int size, ToDoubleFunction<Integer> measured) {
        double open = measured.applyAsDouble(size);
        return open - Sampler.usedBytes();
    }

    private static byte[] request() {
        String body = "{\"rank\":\"urgent\",\"access\":\"read\",\"deadlineMs\":2000,"
                + "\"statements\":[{\"op\":\"get\",\"key\":\"order-1\"}]}";
        String head = "POST /v1/services/orders/groups/ledger/statements HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                + "Content-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n";
        return (head + body).getBytes(StandardCharsets.US_ASCII);
    }

    private static double callers(int connections) {
        List<SocketChannel> open = new ArrayList<>(connections);
        try (CallerServer server = CallerServer.start(
                new InetSocketAddress("127.0.0.1", 0),
                request -> CompletableFuture.completedFuture(
                        Either.left(CallerRefusal.of(ErrorKind.NO_PRIMARY, "no primary"))),
                MAX_BODY_BYTES,
                TIMEOUT)) {
            for (int i = 0; i < connections; i++) {
                open.add(connect(server.port()));
                ask(open.get(i));
            }
            return Sampler.usedBytes();
        } catch (Exception e) {
            throw new IllegalStateException("the connections of callers failed", e);
        } finally {
            open.forEach(ConnectionSlopes::close);
        }
    }

    private static double plain(int connections) {
        List<SocketChannel> open = new ArrayList<>(2 * connections);
        try (ServerSocketChannel server = ServerSocketChannel.open()) {
            server.bind(new InetSocketAddress("127.0.0.1", 0));
            int port = ((InetSocketAddress) server.getLocalAddress()).getPort();
            for (int i = 0; i < connections; i++) {
                open.add(connect(port));
                open.add(server.accept());
            }
            return Sampler.usedBytes();
        } catch (IOException e) {
            throw new IllegalStateException("the plain connections failed", e);
        } finally {
            open.forEach(ConnectionSlopes::close);
        }
    }

    /** One client with one connection to each of many addresses, behind all of which one server listens. */
    private static double peers(int connections) {
        PeerHandler handler = new PeerHandler() {
            @Override
            public CompletableFuture<RelayResponse> execute(RelayRequest request) {
                throw new UnsupportedOperationException("no request is relayed here");
            }

            @Override
            public CompletableFuture<ExchangeResponse> exchange(ExchangeRequest request) {
                return CompletableFuture.completedFuture(new ExchangeResponse(new WireDigest(1, 1)));
            }
        };
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        try (PeerServer server = PeerServer.start(new InetSocketAddress("0.0.0.0", 0), handler);
                PeerClient client = PeerClient.create(InetAddress.getByName("127.0.0.1"), timer)) {
            for (int i = 0; i < connections; i++) {
                String address = "127.1.%d.%d:%d".formatted(i / 250, i % 250 + 1, server.port());
                if (client.exchange(address, Wire.request(null), TIMEOUT).join().isLeft()) {
                    throw new IllegalStateException("an exchange failed");
                }
            }
            return Sampler.usedBytes();
        } catch (Exception e) {
            throw new IllegalStateException("the connections between daemons failed", e);
        } finally {
            timer.shutdownNow();
        }
    }

    private static SocketChannel connect(int port) throws IOException {
        SocketChannel channel = SocketChannel.open(new InetSocketAddress("127.0.0.1", port));
        // Closing resets the connection, so that no run leaves ports in the state TIME_WAIT to the next one.
        channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        return channel;
    }

    /** Sends a request and reads its answer, which ends with the brace of the problem document. */
    private static void ask(SocketChannel channel) throws IOException {
        ByteBuffer out = ByteBuffer.wrap(REQUEST);
        while (out.hasRemaining()) {
            channel.write(out);
        }
        ByteBuffer in = ByteBuffer.allocate(BUFFER_BYTES);
        do {
            if (channel.read(in) < 0) {
                throw new IOException("the server closed the connection");
            }
        } while (in.get(in.position() - 1) != '}');
    }

    private static void close(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            throw new IllegalStateException("a connection does not close", e);
        }
    }
}
