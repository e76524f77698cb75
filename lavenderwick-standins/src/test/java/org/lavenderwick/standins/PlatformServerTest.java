package org.lavenderwick.standins;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import io.vavr.control.Either;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.adapters.platform.HostEntry;
import org.lavenderwick.adapters.platform.HttpPlatformPort;
import org.lavenderwick.adapters.platform.Lease;
import org.lavenderwick.adapters.platform.PlatformPort;
import org.lavenderwick.adapters.platform.VersionedValue;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.error.Failure;
import org.lavenderwick.core.model.DaemonName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.time.TokenBucket;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lavenderwick.standins.TestFleet.PATIENCE;
import static org.lavenderwick.standins.TestFleet.SHORT;
import static org.lavenderwick.standins.TestFleet.await;
import static org.lavenderwick.standins.TestFleet.until;

class PlatformServerTest {

    private static final Duration TTL = Duration.ofSeconds(5);
    private static final Duration HOST_LAG = Duration.ofSeconds(7);

    private final AtomicReference<Duration> time = new AtomicReference<>(Duration.ZERO);
    private StandinRuntime runtime;
    private PlatformServer platform;
    private HttpPlatformPort port;

    @BeforeEach
    void start() {
        runtime = StandinRuntime.start();
        platform = PlatformServer.start(runtime, "127.0.0.1", 0, time::get, HOST_LAG);
        port = port("127.0.1.1", PATIENCE, 10_000);
    }

    @AfterEach
    void stop() {
        port.close();
        platform.close();
        runtime.close();
    }

    private HttpPlatformPort port(String bindAddress, Duration timeout, int calls) {
        return HttpPlatformPort.create(platform.address(), bindAddress, timeout, TokenBucket.of(calls, 1, time::get));
    }

    private static ErrorKind kind(Either<Failure, ?> outcome) {
        return outcome.getLeft().kind();
    }

    @Nested
    class Keys {

        /** Guards against a write that overwrites a newer one. */
        @Test
        void compareAndSwapWithAnOldRevisionConflicts() {
            long first =
                    await(port.compareAndSwap("a", "1", PlatformPort.ABSENT)).get();
            long second = await(port.compareAndSwap("a", "2", first)).get();

            assertThat(kind(await(port.compareAndSwap("a", "3", first)))).isEqualTo(ErrorKind.VERSION_CONFLICT);
            assertThat(kind(await(port.compareAndSwap("a", "3", PlatformPort.ABSENT))))
                    .isEqualTo(ErrorKind.VERSION_CONFLICT);
            assertThat(await(port.read("a")).get()).contains(new VersionedValue("2", second));
            assertThat(second).isGreaterThan(first);
        }

        /** Guards against keys that change or collide on their way through a URL. */
        @Test
        void keysWithSpecialCharactersStayDistinct() {
            List<String> keys = List.of("x/%2F", "x/+", "x/ ", "x//", "x/?q=1", "x/\u00fc", "x/a#b");
            keys.forEach(key -> assertThat(await(port.compareAndSwap(key, key, PlatformPort.ABSENT))
                            .isRight())
                    .isTrue());

            keys.forEach(
                    key -> assertThat(await(port.read(key)).get().orElseThrow().value())
                            .isEqualTo(key));
            assertThat(await(port.list("x/")).get()).containsExactlyInAnyOrderElementsOf(keys);
            assertThat(await(port.list("y")).get()).isEmpty();
            assertThat(await(port.read("y")).get()).isEmpty();
        }

        /** Guards against a limit that is off by one or only checked by the client. */
        @Test
        void valueLimitHolds() throws Exception {
            String largest = "v".repeat(PlatformPort.MAX_VALUE_BYTES);

            assertThat(await(port.compareAndSwap("a", largest, PlatformPort.ABSENT))
                            .isRight())
                    .isTrue();
            assertThat(await(port.read("a")).get().orElseThrow().value()).isEqualTo(largest);
            assertThat(kind(await(port.compareAndSwap("b", largest + "v", PlatformPort.ABSENT))))
                    .isEqualTo(ErrorKind.REQUEST_TOO_LARGE);
            assertThat(send("PUT", platform.address(), "/kv/b?expected=0", largest + "v"))
                    .isEqualTo(413);
        }

        /** Guards against a watch that misses a write, and against one that never ends. */
        @Test
        void watchEndsWithTheNextWriteOrItsWait() throws Exception {
            long revision =
                    await(port.compareAndSwap("a", "1", PlatformPort.ABSENT)).get();
            CompletableFuture<Either<Failure, Optional<VersionedValue>>> watch =
                    port.watch("a", revision, Duration.ofSeconds(30));
            until(() -> platform.counters().total().watches() == 1);

            long next = await(port.compareAndSwap("a", "2", revision)).get();

            assertThat(await(watch).get()).contains(new VersionedValue("2", next));
            assertThat(await(port.watch("a", revision, Duration.ofSeconds(30))).get())
                    .contains(new VersionedValue("2", next));
            assertThat(await(port.watch("a", next, Duration.ofMillis(10))).get())
                    .isEmpty();
            until(() -> platform.counters().total().watches() == 0);
        }
    }

    @Nested
    class Leases {

        /** Guards against a paused holder that still renews or releases the lease of its successor. */
        @Test
        void fencingTokenGrowsWithEachGrant() {
            Lease first = await(port.acquireLease("c", "one", TTL)).get();
            assertThat(kind(await(port.acquireLease("c", "two", TTL)))).isEqualTo(ErrorKind.VERSION_CONFLICT);

            time.set(TTL);
            Lease second = await(port.acquireLease("c", "two", TTL)).get();

            assertThat(second.fencingToken()).isGreaterThan(first.fencingToken());
            assertThat(kind(await(port.renewLease(first)))).isEqualTo(ErrorKind.VERSION_CONFLICT);
            assertThat(await(port.releaseLease(first)).get()).isFalse();
            assertThat(await(port.renewLease(second)).isRight()).isTrue();
        }

        /** Guards against a token that restarts after a release, and against a lease that a renewal does not extend. */
        @Test
        void releaseKeepsTheTokenAndRenewalExtends() {
            Lease first = await(port.acquireLease("c", "one", TTL)).get();
            time.set(TTL.dividedBy(2));
            await(port.renewLease(first));
            time.set(TTL.plusSeconds(1));
            assertThat(kind(await(port.acquireLease("c", "two", TTL)))).isEqualTo(ErrorKind.VERSION_CONFLICT);

            assertThat(await(port.releaseLease(first)).get()).isTrue();

            assertThat(await(port.acquireLease("c", "two", TTL)).get().fencingToken())
                    .isGreaterThan(first.fencingToken());
        }
    }

    @Nested
    class Hosts {

        /** Guards against a list of hosts that is more current than the real one. */
        @Test
        void changesAppearAfterTheLag() {
            HostEntry host = new HostEntry(DaemonName.of("d1"), FailureDomain.of("f"), "127.0.1.1:7000", false);
            platform.putHost(host);
            assertThat(await(port.hosts()).get()).isEmpty();

            time.set(HOST_LAG);
            assertThat(await(port.hosts()).get()).containsExactly(host);

            platform.removeHost(host.daemon());
            assertThat(await(port.hosts()).get()).containsExactly(host);
            time.set(HOST_LAG.multipliedBy(2));
            assertThat(await(port.hosts()).get()).isEmpty();
        }
    }

    @Nested
    class Counters {

        /** Guards against a daemon that calls the platform without bound. */
        @Test
        void spentBudgetSendsNothing() {
            try (HttpPlatformPort bounded = port("127.0.2.1", PATIENCE, 2)) {
                await(bounded.read("a"));
                await(bounded.compareAndSwap("a", "1", PlatformPort.ABSENT));
                assertThat(kind(await(bounded.read("a")))).isEqualTo(ErrorKind.PLATFORM_UNAVAILABLE);
                time.set(Duration.ofSeconds(1));
                assertThat(await(bounded.read("a")).isRight()).isTrue();
            }
            await(port.read("a"));

            assertThat(platform.counters().byCaller())
                    .containsEntry("127.0.2.1", new CallCounters.Counts(2, 1, 0))
                    .containsEntry("127.0.1.1", new CallCounters.Counts(1, 0, 0));
            assertThat(platform.counters().bySecond())
                    .containsExactly(
                            new CallCounters.SecondCounts(0, new CallCounters.Counts(1, 1, 0)),
                            new CallCounters.SecondCounts(1, new CallCounters.Counts(2, 0, 0)));
        }
    }

    @Nested
    class Faults {

        /** Guards against an adapter that repeats a write or reports an unknown outcome as a conflict. */
        @Test
        void writeTakesEffectOnceAlthoughItsAnswerIsLost() {
            platform.faults(PlatformFaults.NONE.withLostAnswers(1, 7));
            try (HttpPlatformPort hasty = port("127.0.1.1", SHORT, 10)) {
                assertThat(kind(await(hasty.compareAndSwap("a", "1", PlatformPort.ABSENT))))
                        .isEqualTo(ErrorKind.PLATFORM_UNAVAILABLE);
            }

            assertThat(platform.read("a").orElseThrow().value()).isEqualTo("1");
            assertThat(platform.counters().total().writes()).isEqualTo(1);
        }

        /** Guards against an outage after which the platform or its client does not come back. */
        @Test
        void refusalEndsAndTheClientRecovers() throws Exception {
            await(port.compareAndSwap("a", "1", PlatformPort.ABSENT));
            String faults = "{\"availability\":\"REFUSES\"}";

            assertThat(send("POST", platform.controlAddress(), "/faults", faults))
                    .isEqualTo(200);
            assertThat(kind(await(port.read("a")))).isEqualTo(ErrorKind.PLATFORM_UNAVAILABLE);
            assertThat(send("POST", platform.controlAddress(), "/faults", "{}")).isEqualTo(200);

            until(() -> await(port.read("a")).isRight());
            assertThat(send("POST", platform.controlAddress(), "/faults", "{")).isEqualTo(400);
        }

        /** Guards against calls that run while the platform hangs, and against a cut that silences the wrong side. */
        @Test
        void hangingAndSilentPlatformsRunNothing() {
            try (HttpPlatformPort hasty = port("127.0.2.1", SHORT, 10)) {
                platform.faults(PlatformFaults.NONE.withAvailability(PlatformFaults.Availability.HANGS));
                assertThat(kind(await(hasty.compareAndSwap("a", "1", PlatformPort.ABSENT))))
                        .isEqualTo(ErrorKind.PLATFORM_UNAVAILABLE);
                platform.faults(PlatformFaults.NONE.withSilentBlocks(Set.of(2)));
                assertThat(kind(await(hasty.compareAndSwap("a", "1", PlatformPort.ABSENT))))
                        .isEqualTo(ErrorKind.PLATFORM_UNAVAILABLE);
            }

            assertThat(await(port.read("a")).get()).isEmpty();
        }

        /** Guards against stale reads that nobody asked for, and against a fault without effect. */
        @Test
        void readsAreStaleOnlyOnRequest() {
            long first =
                    await(port.compareAndSwap("a", "1", PlatformPort.ABSENT)).get();
            await(port.compareAndSwap("a", "2", first));
            assertThat(await(port.read("a")).get().orElseThrow().value()).isEqualTo("2");

            platform.faults(new PlatformFaults(PlatformFaults.Availability.UP, 0, 0, 1, Set.of(), 0));

            assertThat(await(port.read("a")).get()).contains(new VersionedValue("1", first));
        }
    }

    private static int send(String method, String address, String path, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        return HttpClient.newHttpClient()
                .send(request, HttpResponse.BodyHandlers.discarding())
                .statusCode();
    }
}
