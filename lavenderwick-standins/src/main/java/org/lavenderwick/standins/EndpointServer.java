package org.lavenderwick.standins;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.google.common.collect.ImmutableSet;
import com.google.common.net.HostAndPort;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.lavenderwick.adapters.endpoint.EndpointMessages.ConnectAnswer;
import org.lavenderwick.adapters.endpoint.EndpointMessages.ConnectRequest;
import org.lavenderwick.adapters.endpoint.EndpointMessages.ControlAnswer;
import org.lavenderwick.adapters.endpoint.EndpointMessages.ControlRequest;
import org.lavenderwick.adapters.endpoint.EndpointMessages.ExecuteAnswer;
import org.lavenderwick.adapters.endpoint.EndpointMessages.ExecuteRequest;
import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.model.EndpointName;

/**
 * Stand-in for one endpoint of a database group: takes the protocol over TCP, enforces the connection limit and the
 * slots, and injects faults. The state is kept by the {@link GroupEmulator}. Thread-safe.
 */
public final class EndpointServer implements AutoCloseable {

    private static final int MAX_REQUEST_BYTES = 16 * 1024 * 1024;

    private final EndpointSettings settings;
    private final GroupEmulator group;
    private final EndpointOptions options;
    private final StandinRuntime runtime;
    private final Server server;
    private final ServerConnector connector;
    private final SlotQueue slots;
    private final PauseGate gate;
    private final AnswerFaults answerFaults = new AnswerFaults();
    private final Map<Connection, EndpointSession> sessions = new ConcurrentHashMap<>();
    private final Set<Connection> silentConnections = ConcurrentHashMap.newKeySet();
    private volatile Set<Integer> silentBlocks = Set.of();
    private volatile Duration answerDelay = Duration.ZERO;
    private volatile long generation;

    private EndpointServer(
            EndpointSettings settings, GroupEmulator group, EndpointOptions options, StandinRuntime runtime) {
        this.settings = settings;
        this.group = group;
        this.options = options;
        this.runtime = runtime;
        this.slots = new SlotQueue(settings.slots(), options.slowdown(), runtime);
        this.gate = new PauseGate(runtime);
        this.server = runtime.newServer();
        HostAndPort address = HostAndPort.fromString(settings.address());
        this.connector = StandinRuntime.newConnector(server, address.getHost(), address.getPort());
        connector.addBean(new CloseListener());
        server.setHandler(new EndpointHandler());
    }

    /** Starts an endpoint at the address of its settings; port 0 stands for any free port. */
    public static EndpointServer start(
            EndpointSettings settings, GroupEmulator group, EndpointOptions options, StandinRuntime runtime) {
        EndpointServer endpoint = new EndpointServer(settings, group, options, runtime);
        try {
            endpoint.server.start();
        } catch (Exception e) {
            throw new IllegalStateException("endpoint stand-in " + settings.name() + " does not start", e);
        }
        // A restart after a death must use the same port.
        endpoint.connector.setPort(endpoint.connector.getLocalPort());
        return endpoint;
    }

    /** Returns the name of the endpoint. */
    public EndpointName name() {
        return settings.name();
    }

    /** Returns IP address and port. */
    public String address() {
        return connector.getHost() + ":" + connector.getPort();
    }

    /** Returns the number of connections that count towards the limit. */
    public int connections() {
        return sessions.size();
    }

    /** Returns the state of the endpoint past all faults. */
    public EndpointStatus status() {
        return group.status(name());
    }

    /** Stops all work, as if the process were stopped by a signal; connections stay open. */
    public void pause() {
        gate.close();
        group.paused(name(), true);
    }

    /** Ends a pause; the work that was held back runs now. */
    public void resume() {
        group.paused(name(), false);
        gate.open();
    }

    /** Dies: connections close, open transactions roll back, new connections are refused. */
    public synchronized void kill() {
        generation++;
        gate.drop();
        group.alive(name(), false);
        try {
            connector.stop();
        } catch (Exception e) {
            throw new IllegalStateException("endpoint stand-in " + name() + " does not die", e);
        }
        List.copyOf(sessions.keySet()).forEach(this::closed);
    }

    /** Comes back after a death with its log, data and promised term. */
    public synchronized void restart() {
        group.paused(name(), false);
        gate.open();
        group.alive(name(), true);
        try {
            connector.start();
        } catch (Exception e) {
            throw new IllegalStateException("endpoint stand-in " + name() + " does not restart", e);
        }
    }

    /** Delays each answer. */
    public void answerDelay(Duration delay) {
        answerDelay = delay;
    }

    /** Makes the answers to the next executed requests go wrong. */
    public void injectAnswerFault(AnswerFault fault, int answers) {
        answerFaults.inject(fault, answers);
    }

    /** Makes the answer to each executed request go wrong with a probability, decided from a seed. */
    public void answerFaultChance(AnswerFault fault, double probability, long seed) {
        answerFaults.chance(fault, probability, seed);
    }

    /** Returns the number of answers that went wrong by injected faults since the start. */
    public long answerFaults() {
        return answerFaults.drawn();
    }

    /** Makes the connections that are open now silent for good; new ones work. */
    public void silenceOpenConnections() {
        sessions.keySet().forEach(this::silence);
    }

    /** Makes the endpoint silent for old and new connections and for replication from blocks 127.0.n.x. */
    public void silentBlocks(Set<Integer> blocks) {
        silentBlocks = ImmutableSet.copyOf(blocks);
        group.silentBlocks(name(), silentBlocks);
        sessions.forEach((connection, session) -> {
            if (silentBlocks.contains(session.sourceBlock())) {
                silence(connection);
            }
        });
    }

    /** Changes how the endpoint follows its primary. */
    public void replication(Replication replication) {
        group.replication(name(), replication);
    }

    /** Ends all faults but a death, a pause and connections that have gone silent. */
    public void clearFaults() {
        answerFaults.clear();
        answerDelay = Duration.ZERO;
        silentBlocks(Set.of());
        replication(Replication.PROMPT);
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("endpoint stand-in " + name() + " does not stop", e);
        }
    }

    private void silence(Connection connection) {
        if (silentConnections.add(connection)) {
            runtime.timer()
                    .schedule(
                            () -> closed(connection),
                            options.silentSessionExpiry().toMillis(),
                            TimeUnit.MILLISECONDS);
        }
    }

    private boolean silent(StandinExchange exchange) {
        return silentBlocks.contains(exchange.sourceBlock()) || silentConnections.contains(exchange.connection());
    }

    /** Ends the session of a connection: its transaction rolls back, and then it no longer counts. */
    private void closed(Connection connection) {
        EndpointSession session = sessions.get(connection);
        if (session != null && session.markClosed()) {
            group.sessionClosed(name(), session);
            sessions.remove(connection);
        }
    }

    private void serve(StandinExchange exchange, byte[] body, long bornIn) {
        if (bornIn != generation) {
            exchange.disconnect();
            return;
        }
        if (silent(exchange)) {
            exchange.silence();
            return;
        }
        try {
            switch (exchange.path()) {
                case "/connect" -> {
                    ConnectRequest request = runtime.mapper().readValue(body, ConnectRequest.class);
                    runtime.schedule(() -> gate.run(() -> connect(exchange, request)), options.connectTime());
                }
                case "/execute" -> execute(exchange, runtime.mapper().readValue(body, ExecuteRequest.class), bornIn);
                case "/status", "/seal", "/promote" ->
                    control(exchange, runtime.mapper().readValue(body, ControlRequest.class));
                default -> exchange.answer(HttpStatus.NOT_FOUND_404, null);
            }
        } catch (IOException | RuntimeException e) {
            exchange.answer(HttpStatus.BAD_REQUEST_400, null);
        }
    }

    private void connect(StandinExchange exchange, ConnectRequest request) {
        Connection connection = exchange.connection();
        synchronized (sessions) {
            if (sessions.size() >= settings.connectionLimit() || sessions.containsKey(connection)) {
                exchange.answer(HttpStatus.SERVICE_UNAVAILABLE_503, null);
                return;
            }
            if (!connection.getEndPoint().isOpen()) {
                return;
            }
            sessions.put(connection, new EndpointSession(UUID.randomUUID().toString(), exchange.sourceBlock()));
        }
        EndpointSession session = sessions.get(connection);
        if (!connection.getEndPoint().isOpen() || session == null) {
            // The close listener may have run before the session was there.
            closed(connection);
            return;
        }
        answer(exchange, new ConnectAnswer(request.requestId(), session.id(), status()));
    }

    private Optional<EndpointSession> session(StandinExchange exchange, String connectionId) {
        return Optional.ofNullable(sessions.get(exchange.connection()))
                .filter(session -> session.id().equals(connectionId));
    }

    private void control(StandinExchange exchange, ControlRequest request) {
        if (session(exchange, request.connectionId()).isEmpty()) {
            exchange.answer(HttpStatus.CONFLICT_409, null);
            return;
        }
        EndpointStatus status =
                switch (exchange.path()) {
                    case "/seal" -> group.seal(name(), request.term().orElseThrow());
                    case "/promote" ->
                        group.promote(
                                name(),
                                request.term().orElseThrow(),
                                request.startPosition().orElseThrow());
                    default -> status();
                };
        answer(exchange, new ControlAnswer(request.requestId(), status));
    }

    private void execute(StandinExchange exchange, ExecuteRequest request, long bornIn) {
        Optional<EndpointSession> session = session(exchange, request.connectionId());
        if (session.isEmpty()) {
            exchange.answer(HttpStatus.CONFLICT_409, null);
            return;
        }
        int units = Math.max(1, request.statements().size());
        slots.submit(
                options.statementTime().multipliedBy(units),
                () -> gate.run(() -> {
                    if (bornIn != generation) {
                        exchange.disconnect();
                    } else {
                        group.execute(
                                name(),
                                session.get(),
                                request,
                                answer -> gate.run(() -> answerExecuted(exchange, answer)));
                    }
                }));
    }

    private void answerExecuted(StandinExchange exchange, ExecuteAnswer answer) {
        Optional<AnswerFault> fault = answerFaults.draw();
        if (fault.isEmpty() || silent(exchange)) {
            answer(exchange, answer);
            return;
        }
        ExecuteAnswer stray = new ExecuteAnswer(
                "stray-" + UUID.randomUUID(), answer.outcome(), answer.results(), answer.detail(), answer.status());
        switch (fault.get()) {
            case LOST -> exchange.loseAnswer();
            case DISCONNECTED -> exchange.disconnect();
            case CUT_SHORT -> exchange.answerCutShort(answer);
            case STRAY_BEFORE -> exchange.answerTwice(stray, answer);
            case STRAY_AFTER -> exchange.answerTwice(answer, stray);
            default -> throw new IllegalStateException("unknown fault " + fault.get());
        }
    }

    private void answer(StandinExchange exchange, Object answer) {
        runtime.schedule(
                () -> gate.run(() -> {
                    if (silent(exchange)) {
                        exchange.silence();
                    } else {
                        exchange.answer(HttpStatus.OK_200, answer);
                    }
                }),
                answerDelay);
    }

    private final class EndpointHandler extends Handler.Abstract.NonBlocking {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            StandinExchange exchange = new StandinExchange(runtime, request, response, callback);
            long bornIn = generation;
            exchange.body(MAX_REQUEST_BYTES).whenComplete((body, failure) -> {
                if (failure != null) {
                    exchange.disconnect();
                } else {
                    gate.run(() -> serve(exchange, body, bornIn));
                }
            });
            return true;
        }
    }

    private final class CloseListener implements Connection.Listener {
        @Override
        public void onClosed(Connection connection) {
            // A paused process learns of the end only when it goes on.
            gate.run(() -> {
                silentConnections.remove(connection);
                closed(connection);
            });
        }
    }
}
