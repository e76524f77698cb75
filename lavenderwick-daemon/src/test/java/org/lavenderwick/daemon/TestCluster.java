package org.lavenderwick.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.lavenderwick.adapters.platform.HostEntry;
import org.lavenderwick.adapters.settings.DaemonSettings;
import org.lavenderwick.adapters.settings.LogFormat;
import org.lavenderwick.adapters.settings.Timeouts;
import org.lavenderwick.core.configuration.Configuration;
import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.configuration.RankSettings;
import org.lavenderwick.core.configuration.ServiceSettings;
import org.lavenderwick.core.configuration.SessionKey;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.GroupName;
import org.lavenderwick.core.model.RankName;
import org.lavenderwick.core.model.ServiceName;
import org.lavenderwick.standins.GroupEmulator;
import org.lavenderwick.standins.HistoryEvent;
import org.lavenderwick.standins.LinkRelay;
import org.lavenderwick.standins.StandinFleet;

/** A test cluster: daemons in three failure domains and one group of three stand-in endpoints. */
final class TestCluster implements AutoCloseable {
    static final GroupName GROUP = GroupName.of("ledger");
    static final String STATEMENTS = "/v1/services/orders/groups/ledger/statements";
    static final String TRANSACTIONS = "/v1/services/orders/groups/ledger/transactions";

    /** Timeout of each HTTP request and of each wait for a condition. */
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(40);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final List<HistoryEvent> history = new ArrayList<>();
    private final List<Daemon> daemons = new ArrayList<>();
    private final Map<Daemon, LinkRelay> relays = new IdentityHashMap<>();
    private final StandinFleet fleet;
    private final DaemonOptions options;
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(5))
            .build();

    private TestCluster(DaemonOptions options) {
        this.options = options;
        ServiceName service = ServiceName.of("orders");
        List<RankSettings> ranks = List.of(
                new RankSettings(RankName.of("urgent"), Duration.ofMillis(50), 10, 0.3),
                new RankSettings(RankName.of("later"), Duration.ofSeconds(2), 1, 0.1));
        List<EndpointSettings> endpoints = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            endpoints.add(new EndpointSettings(
                    EndpointName.of("ledger-" + i), FailureDomain.of("domain-" + i), "127.0.0.1:0", 20, 3));
        }
        Configuration configuration = new Configuration(
                1,
                Map.of(service, new ServiceSettings(service, ranks, Duration.ZERO)),
                Map.of(GROUP, new GroupSettings(GROUP, service, endpoints)),
                List.of(),
                List.of(new SessionKey("k1", Base64.getEncoder().encodeToString(new byte[32]))));
        fleet = StandinFleet.start(
                configuration, StandinFleet.Options.standard().withHistory(this::recordEvent));
        fleet.publishConfiguration();
    }

    /**
     * Starts the stand-ins and the given number of daemons, assigned to the failure domains in turn, and waits until
     * all daemons are ready.
     */
    static TestCluster start(int daemonCount) throws Exception {
        // All daemons start with the cluster, so no former owner holds connections and no delay is needed.
        return start(daemonCount, DaemonOptions.standard().withShareIncreaseDelay(Duration.ZERO));
    }

    /** Starts a cluster whose daemons use the given options. */
    static TestCluster start(int daemonCount, DaemonOptions options) throws Exception {
        TestCluster cluster = new TestCluster(options);
        for (int i = 0; i < daemonCount; i++) {
            cluster.addDaemon(i);
        }
        long seats = daemonCount;
        for (Daemon daemon : cluster.daemons) {
            cluster.await(
                    "seats and configuration",
                    daemon::status,
                    status -> status.ready() && status.seat().isPresent() && status.seatTableVersion() >= seats);
        }
        return cluster;
    }

    void addDaemon(int index) throws Exception {
        int block = index % 3 + 1;
        String address = "127.0." + block + "." + (10 + index);
        int peerPort = freePort(address);
        LinkRelay relay = LinkRelay.start("127.0." + block + "." + (50 + index), 0, address + ":" + peerPort);
        DaemonSettings settings = new DaemonSettings(
                DaemonName.of("daemon-" + index),
                FailureDomain.of("domain-" + block),
                address,
                0,
                0,
                peerPort,
                fleet.platform().address(),
                List.of(),
                4,
                100_000,
                LogFormat.TEXT,
                Timeouts.DEFAULTS);
        Daemon daemon = Daemon.start(settings, options.withAdvertisedPeerAddress(relay.address()));
        daemons.add(daemon);
        relays.put(daemon, relay);
        fleet.platform()
                .putHost(new HostEntry(settings.daemon(), settings.failureDomain(), daemon.peerAddress(), false));
    }

    static int freePort(String address) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
            return socket.getLocalPort();
        }
    }

    /** Returns the relay through which other daemons reach the given one. */
    LinkRelay relayTo(Daemon daemon) {
        return relays.get(daemon);
    }

    private void recordEvent(HistoryEvent event) {
        synchronized (history) {
            history.add(event);
        }
    }

    /** Returns the recorded endpoint events of the given type. */
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

    List<Daemon> daemons() {
        return daemons;
    }

    /** Waits until exactly one daemon reports itself as the lead owner of the group, and returns it. */
    Daemon leadOwner() throws Exception {
        return await(
                        "one lead owner",
                        () -> daemons.stream()
                                .filter(daemon ->
                                        daemon.status().groups().stream().anyMatch(group -> group.lead()))
                                .toList(),
                        leads -> leads.size() == 1)
                .get(0);
    }

    /** Returns all daemons except the lead owner. */
    List<Daemon> nonLeadDaemons() throws Exception {
        Daemon lead = leadOwner();
        return daemons.stream().filter(daemon -> daemon != lead).toList();
    }

    Response post(Daemon daemon, String path, String body) {
        return postAsync(daemon, path, body).join();
    }

    CompletableFuture<Response> postAsync(Daemon daemon, String path, String body) {
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + daemon.address() + ":" + daemon.callerPort() + path))
                .header("Content-Type", "application/json")
                .timeout(AWAIT_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .thenApply(response -> new Response(response.statusCode(), parse(response.body())));
    }

    private static JsonNode parse(String body) {
        try {
            return MAPPER.readTree(body);
        } catch (IOException e) {
            throw new AssertionError("response body is not JSON: " + body, e);
        }
    }

    static String putRequest(String key, String value) {
        return "{\"rank\":\"urgent\",\"access\":\"write\",\"deadlineMs\":20000,\"statements\":["
                + "{\"op\":\"put\",\"key\":\"" + key + "\",\"value\":\"" + value + "\"}]}";
    }

    static String getRequest(String key) {
        return "{\"rank\":\"urgent\",\"access\":\"read\",\"deadlineMs\":20000,\"statements\":["
                + "{\"op\":\"get\",\"key\":\"" + key + "\"}]}";
    }

    /** Returns the request with the session token added. */
    static String withSession(String request, String token) {
        return request.substring(0, request.length() - 1) + ",\"session\":\"" + token + "\"}";
    }

    /** Polls the value until it satisfies the condition, and returns it. */
    <T> T await(String description, Callable<T> value, Predicate<T> condition) throws Exception {
        Instant end = Instant.now().plus(AWAIT_TIMEOUT);
        T last = value.call();
        while (!condition.test(last)) {
            if (Instant.now().isAfter(end)) {
                throw new AssertionError(
                        "timed out after " + AWAIT_TIMEOUT + " waiting for " + description + "; last value: " + last);
            }
            Thread.sleep(20);
            last = value.call();
        }
        return last;
    }

    @Override
    public void close() {
        daemons.forEach(Daemon::close);
        relays.values().forEach(LinkRelay::close);
        fleet.close();
    }

    /** An HTTP response with its JSON body. */
    record Response(int status, JsonNode body) {
        String session() {
            return body.path("session").asText();
        }

        String kind() {
            return body.path("kind").asText();
        }

        JsonNode result(int index) {
            return body.path("results").path(index);
        }
    }
}
