package org.lavenderwick.standins;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.lavenderwick.adapters.endpoint.EndpointStatus;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;

/**
 * Fault controls of a fleet of stand-ins over HTTP, for a fleet in a process of its own: {@code GET /endpoints}, {@code
 * POST /endpoints/{name}/faults} with an {@code action}, and {@code POST /cut} with {@code failureDomains}.
 */
final class FleetControl implements AutoCloseable {

    private static final int MAX_BODY_BYTES = 64 * 1024;

    private final StandinFleet fleet;
    private final StandinRuntime runtime;
    private final Server server;
    private final ServerConnector connector;

    FleetControl(StandinFleet fleet, StandinRuntime runtime, String host) {
        this.fleet = fleet;
        this.runtime = runtime;
        this.server = runtime.newServer();
        this.connector = StandinRuntime.newConnector(server, host, 0);
        server.setHandler(new ControlHandler());
        try {
            server.start();
        } catch (Exception e) {
            throw new IllegalStateException("the control port of the stand-ins does not start", e);
        }
    }

    String address() {
        return connector.getHost() + ":" + connector.getLocalPort();
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the control port of the stand-ins does not stop", e);
        }
    }

    private void serve(StandinExchange exchange, byte[] body) {
        try {
            String[] path = exchange.path().split("/");
            String route = exchange.method() + " " + path[1];
            if (route.equals("GET endpoints")) {
                exchange.answer(HttpStatus.OK_200, report());
            } else if (route.equals("POST endpoints")) {
                act(fleet.endpoint(EndpointName.of(path[2])), runtime.mapper().readTree(body));
                exchange.answer(HttpStatus.OK_200, report());
            } else if (route.equals("POST cut")) {
                Set<FailureDomain> domains = new HashSet<>();
                runtime.mapper()
                        .readTree(body)
                        .path("failureDomains")
                        .forEach(domain -> domains.add(FailureDomain.of(domain.asText())));
                fleet.cutOff(domains);
                exchange.answer(HttpStatus.OK_200, report());
            } else {
                exchange.answer(HttpStatus.NOT_FOUND_404, null);
            }
        } catch (IOException | RuntimeException e) {
            exchange.answer(HttpStatus.BAD_REQUEST_400, String.valueOf(e.getMessage()));
        }
    }

    private static void act(EndpointServer endpoint, JsonNode command) {
        switch (command.path("action").asText()) {
            case "pause" -> endpoint.pause();
            case "resume" -> endpoint.resume();
            case "kill" -> endpoint.kill();
            case "restart" -> endpoint.restart();
            case "silenceOpenConnections" -> endpoint.silenceOpenConnections();
            case "answerDelay" ->
                endpoint.answerDelay(Duration.ofMillis(required(command, "ms").asLong()));
            case "answerFault" ->
                endpoint.injectAnswerFault(
                        AnswerFault.valueOf(required(command, "fault").asText()),
                        required(command, "answers").asInt());
            case "answerFaultChance" ->
                endpoint.answerFaultChance(
                        AnswerFault.valueOf(required(command, "fault").asText()),
                        required(command, "probability").asDouble(),
                        required(command, "seed").asLong());
            case "silentBlocks" -> {
                Set<Integer> blocks = new HashSet<>();
                required(command, "blocks").forEach(block -> blocks.add(block.asInt()));
                endpoint.silentBlocks(blocks);
            }
            case "stopReplication" -> endpoint.replication(Replication.STOPPED);
            case "delayReplication" ->
                endpoint.replication(Replication.delayed(
                        Duration.ofMillis(required(command, "ms").asLong())));
            case "slowReplication" ->
                endpoint.replication(
                        Replication.slow(required(command, "entriesPerSecond").asInt()));
            case "clear" -> endpoint.clearFaults();
            default -> throw new IllegalArgumentException("unknown action " + command.path("action"));
        }
    }

    private static JsonNode required(JsonNode command, String field) {
        JsonNode value = command.get(field);
        if (value == null) {
            throw new IllegalArgumentException("the command has no " + field);
        }
        return value;
    }

    private List<EndpointReport> report() {
        List<EndpointReport> reports = new ArrayList<>();
        fleet.endpoints()
                .forEach(endpoint ->
                        reports.add(new EndpointReport(endpoint.address(), endpoint.connections(), endpoint.status())));
        return reports;
    }

    private record EndpointReport(String address, int connections, EndpointStatus status) {}

    private final class ControlHandler extends Handler.Abstract.NonBlocking {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            StandinExchange exchange = new StandinExchange(runtime, request, response, callback);
            exchange.body(MAX_BODY_BYTES).whenComplete((body, failure) -> {
                if (failure != null) {
                    exchange.answer(HttpStatus.PAYLOAD_TOO_LARGE_413, null);
                } else {
                    // A death or a restart stops or starts a connector, which may block.
                    runtime.execute(() -> serve(exchange, body));
                }
            });
            return true;
        }
    }
}
