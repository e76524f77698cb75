package org.lavenderwick.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lavenderwick.core.error.ErrorKind;
import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;
import org.lavenderwick.core.promotion.TermStart;

import static org.assertj.core.api.Assertions.assertThat;

class NearestReplicaRoutingTest {

    private static final Instant NOW = Instant.parse("2026-03-01T12:00:00Z");
    private static final FailureDomain DOMAIN = FailureDomain.of("arq-cayma");

    private final ReadRouting routing = NearestReplicaRouting.create();
    private final RandomGenerator random = new Random(5);

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }

    private static ReadRequirements maxStaleness(long millis) {
        return new ReadRequirements(Optional.empty(), Optional.of(ms(millis)), NOW, List.of());
    }

    private static ReadRequirements sessionAt(long term, long position) {
        return new ReadRequirements(Optional.of(LogPoint.of(term, position)), Optional.empty(), NOW, List.of());
    }

    /** Builder of an endpoint snapshot at position 100 of term 1, with no lag, a latency of 5 ms and a limit of 4. */
    private static final class SnapshotBuilder {
        private final String name;
        private LogPoint point = LogPoint.of(1, 100);
        private long pointAge;
        private long observedAge;
        private int latency = 5;
        private int inFlight;
        private boolean leaving;
        private boolean reachable = true;

        SnapshotBuilder(String name) {
            this.name = name;
        }

        SnapshotBuilder with(Consumer<SnapshotBuilder> change) {
            change.accept(this);
            return this;
        }

        EndpointSnapshot build() {
            boolean primary = name.equals("primary");
            Instant pointTime = NOW.minusMillis(pointAge);
            Instant observed = NOW.minusMillis(observedAge);
            EndpointName endpoint = EndpointName.of(name);
            return new EndpointSnapshot(
                    endpoint,
                    DOMAIN,
                    primary,
                    point,
                    pointTime,
                    observed,
                    ms(latency),
                    inFlight,
                    4,
                    leaving,
                    reachable);
        }
    }

    private static SnapshotBuilder endpoint(String name) {
        return new SnapshotBuilder(name);
    }

    private static SnapshotBuilder endpoint(String name, int latency, int inFlight) {
        return endpoint(name).with(builder -> {
            builder.latency = latency;
            builder.inFlight = inFlight;
        });
    }

    private static SnapshotBuilder endpoint(String name, long position, long pointAge, long observedAge) {
        return endpoint(name).with(builder -> {
            builder.point = LogPoint.of(1, position);
            builder.pointAge = pointAge;
            builder.observedAge = observedAge;
        });
    }

    private static SnapshotBuilder inTerm(String name, long term, long position) {
        return endpoint(name).with(builder -> builder.point = LogPoint.of(term, position));
    }

    private static SnapshotBuilder leaving(String name) {
        return endpoint(name).with(builder -> builder.leaving = true);
    }

    private static SnapshotBuilder unreachable(String name) {
        return endpoint(name).with(builder -> builder.reachable = false);
    }

    private RoutingDecision choose(ReadRequirements requirements, SnapshotBuilder... builders) {
        List<EndpointSnapshot> endpoints = new ArrayList<>();
        for (SnapshotBuilder builder : builders) {
            endpoints.add(builder.build());
        }
        return routing.choose(endpoints, requirements, random);
    }

    private static RoutingDecision sendTo(String name, boolean confirmed) {
        return new RoutingDecision.SendTo(EndpointName.of(name), confirmed);
    }

    @Nested
    class LoadDistribution {

        /** Guards against a thundering herd: decisions on the same snapshot must not all select the same replica. */
        @Test
        void equalReplicasShareReads() {
            int[] chosen = new int[4];
            for (int read = 0; read < 4_000; read++) {
                RoutingDecision decision = choose(
                        maxStaleness(1_000),
                        endpoint("r0"),
                        endpoint("r1"),
                        endpoint("r2"),
                        endpoint("r3"),
                        endpoint("primary"));
                chosen[((RoutingDecision.SendTo) decision).endpoint().value().charAt(1) - '0']++;
            }
            assertThat(IntStream.of(chosen)).allMatch(count -> count > 800 && count < 1_200);
        }

        /**
         * Guards against sending a loaded replica as many reads as the others, and against sending all reads to one.
         */
        @Test
        void loadedReplicaGetsFewerReadsAndBestDoesNotGetAll() {
            int best = 0;
            int loaded = 0;
            for (int read = 0; read < 3_000; read++) {
                RoutingDecision decision =
                        choose(maxStaleness(1_000), endpoint("best"), endpoint("busy", 5, 3), endpoint("some", 5, 1));
                best += decision.equals(sendTo("best", true)) ? 1 : 0;
                loaded += decision.equals(sendTo("busy", true)) ? 1 : 0;
            }
            assertThat(best).isBetween(1_800, 2_200);
            assertThat(loaded).isZero();
        }

        /** Guards against overloading a replica that has no measured latency yet. */
        @Test
        void unmeasuredReplicaCountsAsFastAsTheFastest() {
            int fresh = 0;
            for (int read = 0; read < 1_000; read++) {
                RoutingDecision decision = choose(maxStaleness(1_000), endpoint("known"), endpoint("fresh", 0, 0));
                fresh += decision.equals(sendTo("fresh", true)) ? 1 : 0;
            }
            assertThat(fresh).isBetween(400, 600);
        }
    }

    @Nested
    class SlowReplicas {

        /** Guards against reads that wait at a slow replica, and against a slow replica that is never probed again. */
        @Test
        void slowReplicaGetsOnlyProbes() {
            int slow = 0;
            for (int read = 0; read < 2_000; read++) {
                slow += choose(maxStaleness(1_000), endpoint("fast"), endpoint("slow", 500, 0))
                                .equals(sendTo("slow", true))
                        ? 1
                        : 0;
            }
            assertThat(slow).isBetween(60, 140);
        }

        /** Guards against probes that accumulate at an endpoint that does not respond. */
        @Test
        void sendsOneProbeAtATime() {
            for (int read = 0; read < 1_000; read++) {
                assertThat(choose(maxStaleness(1_000), endpoint("fast"), endpoint("slow", 500, 1)))
                        .isEqualTo(sendTo("fast", true));
            }
        }

        /** Guards against a much slower replica that takes the reads of a fast replica at its limit. */
        @Test
        void readsOverflowOnlyToModeratelySlowReplicas() {
            SnapshotBuilder fast = endpoint("fast", 5, 4);
            assertThat(choose(maxStaleness(1_000), fast, endpoint("slow", 30, 1)))
                    .isEqualTo(sendTo("slow", true));
            assertThat(choose(maxStaleness(1_000), fast, endpoint("slow", 500, 1)))
                    .isEqualTo(new RoutingDecision.Wait());
        }

        /** Guards against a tracker that misses a slowdown, or discards it after a single fast response. */
        @Test
        void latencyRisesQuicklyAndFallsSlowly() {
            LatencyTracker tracker = LatencyTracker.create(ms(1_000));
            tracker.record(ms(5), ms(0));
            tracker.record(ms(105), ms(10));
            tracker.record(ms(105), ms(20));
            assertThat(tracker.value()).isEqualTo(ms(80));
            tracker.record(ms(5), ms(30));
            assertThat(tracker.value()).isGreaterThan(ms(75));
            tracker.record(ms(5), ms(5_000));
            assertThat(tracker.value()).isLessThan(ms(7));
        }
    }

    @Nested
    class Eligibility {

        /** Guards against reads at a leaving or unreachable endpoint, and against needless reads at the primary. */
        @Test
        void leavingAndUnreachableEndpointsGetNoReads() {
            for (int read = 0; read < 200; read++) {
                assertThat(choose(
                                maxStaleness(1_000),
                                endpoint("primary"),
                                unreachable("gone"),
                                leaving("stops"),
                                endpoint("replica", 20, 0)))
                        .isEqualTo(sendTo("replica", true));
            }
            assertThat(choose(maxStaleness(1_000), endpoint("primary"), leaving("stops")))
                    .isEqualTo(sendTo("primary", true));
            RoutingDecision none = choose(maxStaleness(1_000), leaving("primary"), leaving("stops"));
            assertThat(((RoutingDecision.Reject) none).failure().kind()).isEqualTo(ErrorKind.NO_ELIGIBLE_ENDPOINT);
        }

        /** Guards against stale reads. The clock tolerance is added to the age of the data. */
        @Test
        void staleReplicasAreNotEligible() {
            assertThat(choose(maxStaleness(200), endpoint("primary"), endpoint("replica", 100, 150, 0)))
                    .isEqualTo(sendTo("replica", true));
            assertThat(choose(maxStaleness(200), endpoint("primary"), endpoint("replica", 100, 151, 0)))
                    .isEqualTo(sendTo("primary", true));
            assertThat(choose(maxStaleness(200), endpoint("primary"), endpoint("replica", 100, 5_100, 5_000)))
                    .isEqualTo(sendTo("replica", false));
        }

        /** Guards against a session that does not read its own write, and against needless reads at the primary. */
        @Test
        void sessionReadsFromAnEndpointThatHasItsWrite() {
            assertThat(choose(sessionAt(1, 100), endpoint("primary"), endpoint("replica")))
                    .isEqualTo(sendTo("replica", true));
            assertThat(choose(sessionAt(1, 101), inTerm("primary", 1, 101), endpoint("replica", 100, 20, 0)))
                    .isEqualTo(sendTo("primary", true));
            SnapshotBuilder notSeenFor400Millis = endpoint("replica", 100, 420, 400);
            assertThat(choose(sessionAt(1, 101), endpoint("primary", 101, 300, 300), notSeenFor400Millis))
                    .isEqualTo(sendTo("replica", false));
        }

        /** Guards against reads from a former primary whose latest writes were discarded by a failover. */
        @Test
        void formerPrimaryIsNotEligible() {
            ReadRequirements requirements = new ReadRequirements(
                    Optional.of(LogPoint.of(1, 80)), Optional.empty(), NOW, List.of(new TermStart(Term.of(2), 90)));
            assertThat(choose(requirements, inTerm("primary", 2, 95), inTerm("former", 1, 100)))
                    .isEqualTo(sendTo("primary", true));
            ReadRequirements lost = new ReadRequirements(
                    Optional.of(LogPoint.of(1, 91)), Optional.empty(), NOW, requirements.termStarts());
            RoutingDecision rejected = choose(lost, inTerm("primary", 2, 95));
            assertThat(((RoutingDecision.Reject) rejected).failure().kind()).isEqualTo(ErrorKind.SESSION_WRITE_LOST);
        }

        /** Guards against serving a read from a replica if it has no session and allows no staleness. */
        @Test
        void readsWithoutStalenessRunAtThePrimary() {
            ReadRequirements current =
                    new ReadRequirements(Optional.empty(), Optional.of(Duration.ZERO), NOW, List.of());
            assertThat(choose(current, endpoint("primary"), endpoint("replica")))
                    .isEqualTo(sendTo("primary", true));
            assertThat(choose(current, endpoint("primary", 5, 4), endpoint("replica")))
                    .isEqualTo(new RoutingDecision.Wait());
            RoutingDecision none = choose(current, unreachable("primary"), endpoint("replica"));
            assertThat(((RoutingDecision.Reject) none).failure().kind()).isEqualTo(ErrorKind.NO_PRIMARY);
        }

        /** Guards against reads that use the entire capacity of the primary while replicas are busy. */
        @Test
        void readsOverflowToHalfOfThePrimary() {
            SnapshotBuilder busy = endpoint("replica", 5, 4);
            assertThat(choose(maxStaleness(1_000), endpoint("primary", 5, 1), busy))
                    .isEqualTo(sendTo("primary", true));
            assertThat(choose(maxStaleness(1_000), endpoint("primary", 5, 2), busy))
                    .isEqualTo(new RoutingDecision.Wait());
        }
    }
}
