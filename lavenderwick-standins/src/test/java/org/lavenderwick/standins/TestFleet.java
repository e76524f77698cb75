package org.lavenderwick.standins;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

import io.vavr.control.Either;
import org.lavenderwick.adapters.endpoint.EndpointConnection;
import org.lavenderwick.adapters.endpoint.EndpointOutcome;
import org.lavenderwick.adapters.endpoint.EndpointReply;
import org.lavenderwick.adapters.endpoint.EndpointRequest;
import org.lavenderwick.adapters.endpoint.HttpEndpointPort;
import org.lavenderwick.adapters.endpoint.TransactionStep;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.configuration.RankSettings;
import org.lavenderwick.core.configuration.ServiceSettings;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.RankName;
import org.lavenderwick.core.model.ServiceName;
import org.lavenderwick.core.model.Term;

import static org.assertj.core.api.Assertions.assertThat;

/** One group of three endpoints in three failure domains, and a client that stands in the first one. */
final class TestFleet implements AutoCloseable {

    /** Generous bound for calls that must succeed; a test that fails may take this long. */
    static final Duration PATIENCE = Duration.ofSeconds(20);

    /** Timeout of calls that must time out. */
    static final Duration SHORT = Duration.ofMillis(300);

    static final GroupName GROUP = GroupName.of("ledger");
    static final EndpointName FIRST = EndpointName.of("ledger-1");
    static final EndpointName SECOND = EndpointName.of("ledger-2");
    static final EndpointName THIRD = EndpointName.of("ledger-3");
    /** Operations that add one to an item, and that read it. */
    static final String ADD = "[{'op':'add','key':'a','amount':1}]";

    static final String GET = "[{'op':'get','key':'a'}]";

    static final int CONNECTION_LIMIT = 3;

    private final List<HistoryEvent> history = new ArrayList<>();
    private final AtomicLong requests = new AtomicLong();
    private final StandinFleet fleet;
    private final HttpEndpointPort port = HttpEndpointPort.create("127.0.1.1");

    TestFleet(EndpointOptions options) {
        ServiceName service = ServiceName.of("orders");
        RankSettings rank = new RankSettings(RankName.of("urgent"), Duration.ofMillis(50), 10, 0.5);
        List<EndpointSettings> endpoints = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            endpoints.add(new EndpointSettings(
                    EndpointName.of("ledger-" + i),
                    FailureDomain.of("domain-" + i),
                    "127.0.0.1:0",
                    CONNECTION_LIMIT,
                    2));
        }
        Configuration configuration = new Configuration(
                1,
                Map.of(service, new ServiceSettings(service, List.of(rank), Duration.ZERO)),
                Map.of(GROUP, new GroupSettings(GROUP, service, endpoints)),
                List.of(),
                List.of());
        fleet = StandinFleet.start(
                configuration,
                StandinFleet.Options.standard().withEndpoints(options).withHistory(this::record));
    }

    private void record(HistoryEvent event) {
        synchronized (history) {
            history.add(event);
        }
    }

    <E extends HistoryEvent> List<E> events(Class<E> type) {
        synchronized (history) {
            return history.stream().filter(type::isInstance).map(type::cast).toList();
        }
    }

    StandinFleet fleet() {
        return fleet;
    }

    GroupEmulator group() {
        return fleet.group(GROUP);
    }

    EndpointServer endpoint(EndpointName name) {
        return fleet.endpoint(name);
    }

    Either<Failure, EndpointConnection> tryConnect(EndpointName name, Duration timeout) {
        EndpointSettings settings =
                fleet.configuration().groups().get(GROUP).endpoint(name).orElseThrow();
        return await(port.connect(settings, timeout));
    }

    EndpointConnection connect(EndpointName name) {
        return tryConnect(name, PATIENCE).get();
    }

    /** Closes the client, as a daemon does when it stops. */
    void closePort() {
        port.close();
    }

    Request write(String statements) {
        return new Request(requests.incrementAndGet(), statements, true);
    }

    Request read(String statements) {
        return new Request(requests.incrementAndGet(), statements, false);
    }

    Optional<String> value(EndpointName name, String key) {
        return group().value(name, key);
    }

    static <T> T await(CompletableFuture<T> future) {
        try {
            return future.get(PATIENCE.toMillis() * 2, TimeUnit.MILLISECONDS);
        } catch (Exception e) {
            throw new AssertionError("the future does not complete normally", e);
        }
    }

    static void until(BooleanSupplier condition) throws InterruptedException {
        Instant end = Instant.now().plus(PATIENCE);
        while (!condition.getAsBoolean()) {
            assertThat(Instant.now()).as("time to wait for the condition").isBefore(end);
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    static EndpointOutcome outcome(Either<Failure, EndpointReply> reply) {
        return reply.get().outcome();
    }

    static String results(Either<Failure, EndpointReply> reply) {
        return new String(reply.get().results().orElseThrow(), StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        port.close();
        fleet.close();
    }

    /** Builds and runs one request. */
    static final class Request {
        private final String requestId;
        private final String statements;
        private final boolean write;
        private TransactionStep step = TransactionStep.SINGLE;
        private Optional<Term> term;
        private Optional<Duration> maxStaleness = Optional.empty();
        private Optional<LogPoint> minimumPoint = Optional.empty();
        private Optional<String> key = Optional.empty();

        private Request(long number, String statements, boolean write) {
            this.requestId = "request-" + number;
            this.statements = statements.replace('\'', '"');
            this.write = write;
            this.term = write ? Optional.of(Term.of(1)) : Optional.empty();
        }

        Request step(TransactionStep changed) {
            step = changed;
            return this;
        }

        Request term(long changed) {
            term = Optional.of(Term.of(changed));
            return this;
        }

        Request key(String changed) {
            key = Optional.of(changed);
            return this;
        }

        Request maxStaleness(Duration changed) {
            maxStaleness = Optional.of(changed);
            return this;
        }

        Request minimumPoint(long pointTerm, long position) {
            minimumPoint = Optional.of(LogPoint.of(pointTerm, position));
            return this;
        }

        CompletableFuture<Either<Failure, EndpointReply>> start(EndpointConnection connection, Duration timeout) {
            return connection.execute(
                    new EndpointRequest(
                            requestId,
                            GROUP,
                            write,
                            step,
                            statements.getBytes(StandardCharsets.UTF_8),
                            term,
                            minimumPoint,
                            maxStaleness,
                            key),
                    timeout);
        }

        Either<Failure, EndpointReply> on(EndpointConnection connection) {
            return await(start(connection, PATIENCE));
        }
    }
}
