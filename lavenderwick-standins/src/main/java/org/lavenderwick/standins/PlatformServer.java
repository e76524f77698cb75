package org.lavenderwick.standins;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.lavenderwick.adapters.platform.HostEntry;
import org.lavenderwick.adapters.platform.Lease;
import org.lavenderwick.adapters.platform.PlatformMessages.Keys;
import org.lavenderwick.adapters.platform.PlatformMessages.LeaseRequest;
import org.lavenderwick.adapters.platform.PlatformMessages.Released;
import org.lavenderwick.adapters.platform.PlatformMessages.Written;
import org.lavenderwick.adapters.platform.PlatformPort;
import org.lavenderwick.adapters.platform.VersionedValue;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.time.MonotonicClock;

/**
 * Stand-in for the platform. One port takes the calls of daemons; a second one takes control calls ({@code POST
 * /faults}, {@code GET /counters}, {@code POST /hosts}, {@code DELETE /hosts/{daemon}}) and stays up during outages.
 */
public final class PlatformServer implements AutoCloseable {

    private static final Duration MAX_WATCH_WAIT = Duration.ofSeconds(60);

    /** A lease call or a control call is far smaller than a value. */
    private static final int MAX_BODY_BYTES = PlatformPort.MAX_VALUE_BYTES + 1;

    private final StandinRuntime runtime;
    private final Server server;
    private final ServerConnector calls;
    private final ServerConnector control;
    private final PlatformStore store;
    private final CallCounters counters;
    private volatile PlatformFaults faults = PlatformFaults.NONE;
    private volatile Random random = new Random(0);

    private PlatformServer(StandinRuntime runtime, String host, int port, MonotonicClock clock, Duration hostLag) {
        this.runtime = runtime;
        this.store = new PlatformStore(clock, hostLag);
        this.counters = new CallCounters(clock);
        this.server = runtime.newServer();
        this.calls = StandinRuntime.newConnector(server, host, port);
        this.control = StandinRuntime.newConnector(server, host, 0);
        server.setHandler(new PlatformHandler());
    }

    /**
     * Starts a platform.
     *
     * @param runtime shared threads
     * @param host IP address to listen on
     * @param port port for calls; 0 for any free one
     * @param clock clock of the leases
     * @param hostLag time after which a change of the list of hosts becomes visible
     */
    public static PlatformServer start(
            StandinRuntime runtime, String host, int port, MonotonicClock clock, Duration hostLag) {
        PlatformServer platform = new PlatformServer(runtime, host, port, clock, hostLag);
        try {
            platform.server.start();
        } catch (Exception e) {
            throw new IllegalStateException("the platform stand-in does not start", e);
        }
        // Later starts of the connector, after an outage, must use the same port.
        platform.calls.setPort(platform.calls.getLocalPort());
        return platform;
    }

    /** Returns IP address and port for calls. */
    public String address() {
        return calls.getHost() + ":" + calls.getPort();
    }

    /** Returns IP address and port for control calls. */
    public String controlAddress() {
        return control.getHost() + ":" + control.getLocalPort();
    }

    /** Returns the counters of calls. */
    public CallCounters counters() {
        return counters;
    }

    /** Returns the faults in force. */
    public PlatformFaults faults() {
        return faults;
    }

    /** Puts faults in force. */
    public synchronized void faults(PlatformFaults changed) {
        if (changed.seed() != faults.seed()) {
            random = new Random(changed.seed());
        }
        faults = changed;
        try {
            if (changed.availability() == PlatformFaults.Availability.REFUSES) {
                calls.stop();
            } else {
                calls.start();
            }
        } catch (Exception e) {
            throw new IllegalStateException("the port of the platform stand-in does not change its state", e);
        }
    }

    /** Reads a key past all faults. */
    public Optional<VersionedValue> read(String key) {
        return store.read(key);
    }

    /** Writes a key past all faults; returns the new revision, or empty if the key has another revision. */
    public Optional<Long> compareAndSwap(String key, String value, long expectedRevision) {
        return store.compareAndSwap(key, value, expectedRevision);
    }

    /** Adds or replaces a host in the list; visible after the lag. */
    public void putHost(HostEntry host) {
        store.putHost(host);
    }

    /** Removes a host from the list; visible after the lag. */
    public void removeHost(DaemonName daemon) {
        store.removeHost(daemon);
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the platform stand-in does not stop", e);
        }
    }

    private boolean happens(double probability) {
        return probability > 0 && random.nextDouble() < probability;
    }

    private void serve(StandinExchange exchange, byte[] body) {
        PlatformFaults current = faults;
        if (current.availability() != PlatformFaults.Availability.UP
                || current.silentBlocks().contains(exchange.sourceBlock())) {
            exchange.silence();
            return;
        }
        try {
            dispatch(exchange, body, current);
        } catch (IOException | IllegalArgumentException e) {
            exchange.answer(HttpStatus.BAD_REQUEST_400, null);
        }
    }

    private void dispatch(StandinExchange exchange, byte[] body, PlatformFaults current) throws IOException {
        String path = exchange.path();
        String route = exchange.method() + " "
                + path.substring(0, path.indexOf('/', 1) < 0 ? path.length() : path.indexOf('/', 1));
        switch (route) {
            case "GET /kv" -> read(exchange, name(path, "/kv/"));
            case "PUT /kv" -> write(exchange, name(path, "/kv/"), body, current);
            case "GET /list" -> {
                counters.read(exchange.sourceAddress());
                exchange.answer(
                        HttpStatus.OK_200, new Keys(store.list(exchange.query().getValue("prefix"))));
            }
            case "GET /watch" -> watch(exchange, name(path, "/watch/"));
            case "POST /leases" -> lease(exchange, path, body, current);
            case "DELETE /leases" -> {
                counters.write(exchange.sourceAddress());
                long token = number(exchange.query(), "token");
                Released released = new Released(store.release(name(path, "/leases/"), token));
                answerWrite(exchange, HttpStatus.OK_200, released, current);
            }
            case "GET /hosts" -> {
                counters.read(exchange.sourceAddress());
                exchange.answer(HttpStatus.OK_200, store.hosts());
            }
            default -> exchange.answer(HttpStatus.BAD_REQUEST_400, null);
        }
    }

    private void read(StandinExchange exchange, String key) {
        counters.read(exchange.sourceAddress());
        Optional<VersionedValue> value = happens(faults.staleReads()) ? store.readStale(key) : store.read(key);
        exchange.answer(value.isPresent() ? HttpStatus.OK_200 : HttpStatus.NOT_FOUND_404, value.orElse(null));
    }

    private void write(StandinExchange exchange, String key, byte[] body, PlatformFaults current) {
        counters.write(exchange.sourceAddress());
        if (body.length > PlatformPort.MAX_VALUE_BYTES) {
            exchange.answer(HttpStatus.PAYLOAD_TOO_LARGE_413, null);
            return;
        }
        Optional<Long> revision = store.compareAndSwap(
                key, new String(body, StandardCharsets.UTF_8), number(exchange.query(), "expected"));
        answerWrite(
                exchange,
                revision.isPresent() ? HttpStatus.OK_200 : HttpStatus.CONFLICT_409,
                revision.map(Written::new).orElse(null),
                current);
    }

    private void lease(StandinExchange exchange, String path, byte[] body, PlatformFaults current) throws IOException {
        counters.write(exchange.sourceAddress());
        Optional<Lease> lease;
        if (path.endsWith("/renew")) {
            Lease held = runtime.mapper().readValue(body, Lease.class);
            lease = store.renew(held.name(), held.fencingToken(), held.ttl());
        } else {
            LeaseRequest wanted = runtime.mapper().readValue(body, LeaseRequest.class);
            lease = store.acquire(wanted.name(), wanted.holder(), Duration.ofMillis(wanted.ttlMs()));
        }
        int status = lease.isPresent() ? HttpStatus.OK_200 : HttpStatus.CONFLICT_409;
        answerWrite(exchange, status, lease.orElse(null), current);
    }

    private void answerWrite(StandinExchange exchange, int status, Object answer, PlatformFaults current) {
        if (happens(current.lostAnswers())) {
            exchange.loseAnswer();
        } else {
            exchange.answer(status, answer);
        }
    }

    private void watch(StandinExchange exchange, String key) {
        Fields query = exchange.query();
        long waitMs = Math.min(number(query, "waitMs"), MAX_WATCH_WAIT.toMillis());
        String caller = exchange.sourceAddress();
        counters.watchStarted(caller);
        CompletableFuture<VersionedValue> watcher = store.watch(key, number(query, "after"));
        ScheduledFuture<?> end = runtime.timer().schedule(() -> watcher.complete(null), waitMs, TimeUnit.MILLISECONDS);
        watcher.whenComplete((value, failure) -> {
            end.cancel(false);
            store.unwatch(key, watcher);
            counters.watchEnded(caller);
            // The writer's thread must not wait for the sockets of the watchers.
            runtime.execute(() -> endWatch(exchange, value));
        });
    }

    private void endWatch(StandinExchange exchange, VersionedValue value) {
        PlatformFaults current = faults;
        if (current.availability() != PlatformFaults.Availability.UP
                || current.silentBlocks().contains(exchange.sourceBlock())) {
            exchange.silence();
        } else {
            exchange.answer(value == null ? HttpStatus.NO_CONTENT_204 : HttpStatus.OK_200, value);
        }
    }

    private void control(StandinExchange exchange, byte[] body) {
        try {
            String path = exchange.path();
            switch (exchange.method() + " " + (path.startsWith("/hosts/") ? "/hosts/" : path)) {
                case "POST /faults" -> {
                    faults(runtime.mapper().readValue(body, PlatformFaults.class));
                    exchange.answer(HttpStatus.OK_200, faults);
                }
                case "GET /faults" -> exchange.answer(HttpStatus.OK_200, faults);
                case "GET /counters" ->
                    exchange.answer(
                            HttpStatus.OK_200,
                            new CounterReport(counters.total(), counters.byCaller(), counters.bySecond()));
                case "POST /hosts" -> {
                    putHost(runtime.mapper().readValue(body, HostEntry.class));
                    exchange.answer(HttpStatus.NO_CONTENT_204, null);
                }
                case "DELETE /hosts/" -> {
                    removeHost(DaemonName.of(name(path, "/hosts/")));
                    exchange.answer(HttpStatus.NO_CONTENT_204, null);
                }
                default -> exchange.answer(HttpStatus.NOT_FOUND_404, null);
            }
        } catch (IOException | RuntimeException e) {
            exchange.answer(HttpStatus.BAD_REQUEST_400, null);
        }
    }

    private static String name(String path, String prefix) {
        return URLDecoder.decode(path.substring(prefix.length()).replace("+", "%2B"), StandardCharsets.UTF_8);
    }

    private static long number(Fields query, String name) {
        return Long.parseLong(query.getValue(name));
    }

    private record CounterReport(
            CallCounters.Counts total,
            Map<String, CallCounters.Counts> byCaller,
            List<CallCounters.SecondCounts> bySecond) {}

    private final class PlatformHandler extends Handler.Abstract.NonBlocking {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            StandinExchange exchange = new StandinExchange(runtime, request, response, callback);
            boolean controls = request.getConnectionMetaData().getConnector() == control;
            exchange.body(MAX_BODY_BYTES).whenComplete((body, failure) -> {
                if (failure != null) {
                    exchange.answer(HttpStatus.PAYLOAD_TOO_LARGE_413, null);
                } else if (controls) {
                    // A change of the availability stops or starts a connector, which may block.
                    runtime.execute(() -> control(exchange, body));
                } else {
                    runtime.schedule(() -> serve(exchange, body), Duration.ofMillis(faults.delayMs()));
                }
            });
            return true;
        }
    }
}
