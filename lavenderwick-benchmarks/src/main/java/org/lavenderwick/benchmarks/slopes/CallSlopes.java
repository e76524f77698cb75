package org.lavenderwick.benchmarks.slopes;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

import com.google.common.base.Splitter;
import com.sun.management.OperatingSystemMXBean;
import io.vavr.control.Either;
import org.lavenderwick.adapters.endpoint.EndpointConnection;
import org.lavenderwick.adapters.endpoint.HttpEndpointPort;
import org.lavenderwick.adapters.platform.HttpPlatformPort;
import org.lavenderwick.adapters.platform.Lease;
import org.lavenderwick.core.time.TokenBucket;
import org.lavenderwick.daemon.peer.PeerClient;
import org.lavenderwick.daemon.peer.PeerHandler;
import org.lavenderwick.daemon.peer.PeerServer;
import org.lavenderwick.protocol.ExchangeRequest;
import org.lavenderwick.protocol.ExchangeResponse;
import org.lavenderwick.protocol.RelayRequest;
import org.lavenderwick.protocol.RelayResponse;
import org.lavenderwick.protocol.WireDigest;
import org.lavenderwick.standins.StandinFleet;

/**
 * Bytes and processor time of the three control calls over real sockets. Both ends run in this process: the bytes are
 * those of calls and answers together without the headers of TCP and IP, the processor time that of both ends.
 */
final class CallSlopes {
    private static final int[] CALLS = {1_000, 2_000, 4_000};
    private static final int WARM_UP_CALLS = 8_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final String LOOPBACK = "127.0.0.1";
    private static final double NANOS_PER_MICRO = 1e3;

    private final Sampler sampler;

    CallSlopes(Sampler sampler) {
        this.sampler = sampler;
    }

    List<Series> all() throws Exception {
        List<Series> series = new ArrayList<>();
        try (StandinFleet fleet = StandinFleet.start(Fleet.loopback(1), StandinFleet.Options.standard());
                HttpEndpointPort endpoints = HttpEndpointPort.create(LOOPBACK);
                HttpPlatformPort platform = HttpPlatformPort.create(
                        fleet.platform().address(),
                        LOOPBACK,
                        TIMEOUT,
                        TokenBucket.of(1_000_000, 1, () -> Duration.ofNanos(System.nanoTime())))) {
            var group = fleet.configuration().groups().values().iterator().next();
            EndpointConnection connection =
                    endpoints.connect(group.endpoints().get(0), TIMEOUT).join().get();
            measure("call: status of an endpoint", () -> connection.status(TIMEOUT), series);
            Lease lease = platform.acquireLease("seats/domain/17", "holder", TIMEOUT.multipliedBy(100))
                    .join()
                    .get();
            measure("call: renewal of a lease", () -> platform.renewLease(lease), series);
        }
        exchange(series);
        return series;
    }

    private void exchange(List<Series> series) throws Exception {
        PeerHandler handler = new PeerHandler() {
            @Override
            public CompletableFuture<RelayResponse> execute(RelayRequest request) {
                throw new UnsupportedOperationException("no request is relayed here");
            }

            @Override
            public CompletableFuture<ExchangeResponse> exchange(ExchangeRequest request) {
                return CompletableFuture.completedFuture(new ExchangeResponse(new WireDigest(1_000, 1_000)));
            }
        };
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        try (PeerServer server = PeerServer.start(new InetSocketAddress(LOOPBACK, 0), handler);
                PeerClient client = PeerClient.create(InetAddress.getByName(LOOPBACK), timer)) {
            String address = LOOPBACK + ":" + server.port();
            measure("call: exchange with a peer", () -> client.exchange(address, Wire.request(null), TIMEOUT), series);
        } finally {
            timer.shutdownNow();
        }
    }

    private <L, R> void measure(String name, Supplier<CompletableFuture<Either<L, R>>> call, List<Series> series) {
        repeat(call, WARM_UP_CALLS);
        List<Point> bytes = new ArrayList<>();
        List<Point> micros = new ArrayList<>();
        for (int calls : CALLS) {
            bytes.add(sampler.point(calls, run -> {
                long before = writtenBytes();
                repeat(call, calls);
                return (double) (writtenBytes() - before);
            }));
            micros.add(sampler.point(calls, run -> {
                long before = processNanos();
                repeat(call, calls);
                return (processNanos() - before) / NANOS_PER_MICRO;
            }));
        }
        series.add(new Series(name, "bytes", "calls", bytes));
        series.add(new Series(name, "us of CPU, both ends", "calls", micros));
    }

    private static <L, R> void repeat(Supplier<CompletableFuture<Either<L, R>>> call, int times) {
        for (int i = 0; i < times; i++) {
            Either<L, R> answer = call.get().join();
            if (answer.isLeft()) {
                throw new IllegalStateException("a call failed: " + answer.getLeft());
            }
        }
    }

    static long processNanos() {
        return ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class).getProcessCpuTime();
    }

    /** Returns the bytes that this process has written to sockets and files, as Linux counts them. */
    static long writtenBytes() {
        try {
            String counts = Files.readString(Path.of("/proc/self/io"));
            return Long.parseLong(Splitter.on('\n')
                    .splitToStream(counts)
                    .filter(line -> line.startsWith("wchar: "))
                    .findFirst()
                    .orElseThrow()
                    .substring("wchar: ".length()));
        } catch (IOException e) {
            throw new IllegalStateException("the system does not count the bytes of a process", e);
        }
    }
}
