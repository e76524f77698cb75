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

    private static ReadRequirements stale(long millis) {
        return new ReadRequirements(Optional.empty(), Optional.of(ms(millis)), NOW, List.of());
    }

    private static ReadRequirements session(long term, long position) {
        return new ReadRequirements(Optional.of(LogPoint.of(term, position)), Optional.empty(), NOW, List.of());
    }

    /** Builds a view of an endpoint at position 100 of term 1, without lag, with a latency of 5 ms and a limit of 4. */
    private static final class View {
        private final String name;
        private LogPoint point = LogPoint.of(1, 100);
        private long pointAge;
        private long observedAge;
        private int latency = 5;
        private int outstanding;
        private boolean leaving;
        private boolean reachable = true;

        View(String name) {
            this.name = name;
        }

        View with(Consumer<View> change) {
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
                    outstanding,
                    4,
                    leaving,
                    reachable);
        }
    }

    private static View view(String name) {
        return new View(name);
    }

    private static View view(String name, int latency, int outstanding) {
        return view(name).with(view -> {
            view.latency = latency;
            view.outstanding = outstanding;
        });
    }

    private static View view(String name, long position, long pointAge, long observedAge) {
        return view(name).with(view -> {
            view.point = LogPoint.of(1, position);
            view.pointAge = pointAge;
            view.observedAge = observedAge;
        });
    }

    private static View inTerm(String name, long term, long position) {
        return view(name).with(view -> view.point = LogPoint.of(term, position));
    }

    private static View leaving(String name) {
        return view(name).with(view -> view.leaving = true);
    }

    private static View unreachable(String name) {
        return view(name).with(view -> view.reachable = false);
    }

    private RoutingDecision choose(ReadRequirements needs, View... views) {
        List<EndpointSnapshot> endpoints = new ArrayList<>();
        for (View view : views) {
            endpoints.add(view.build());
        }
        return routing.choose(endpoints, needs, random);
    }

    private static RoutingDecision to(String name, boolean confirmed) {
        return new RoutingDecision.SendTo(EndpointName.of(name), confirmed);
    }

    @Nested
    class Spreading {

        /** Guards against a herd: many decisions on the same snapshot must not all pick the same replica. */
        @Test
        void equalReplicasShareTheReads() {
            int[] chosen = new int[4];
            for (int read = 0; read < 4_000; read++) {
                RoutingDecision route =
                        choose(stale(1_000), view("r0"), view("r1"), view("r2"), view("r3"), view("primary"));
                chosen[((RoutingDecision.SendTo) route).endpoint().value().charAt(1) - '0']++;
            }
            assertThat(IntStream.of(chosen)).allMatch(count -> count > 800 && count < 1_200);
        }

        /** Guards against a loaded replica that gets as much as the others, and against one that gets everything. */
        @Test
        void aLoadedReplicaGetsLessAndTheBestNotAll() {
            int best = 0;
            int loaded = 0;
            for (int read = 0; read < 3_000; read++) {
                RoutingDecision route = choose(stale(1_000), view("best"), view("busy", 5, 3), view("some", 5, 1));
                best += route.equals(to("best", true)) ? 1 : 0;
                loaded += route.equals(to("busy", true)) ? 1 : 0;
            }
            assertThat(best).isBetween(1_800, 2_200);
            assertThat(loaded).isZero();
        }

        /** Guards against a rush to a replica that has no measured latency yet. */
        @Test
        void anUnmeasuredReplicaCountsAsAverage() {
            int fresh = 0;
            for (int read = 0; read < 1_000; read++) {
                RoutingDecision route = choose(stale(1_000), view("known"), view("fresh", 0, 0));
                fresh += route.equals(to("fresh", true)) ? 1 : 0;
            }
            assertThat(fresh).isBetween(400, 600);
        }
    }

    @Nested
    class SlowReplicas {

        /** Guards against reads that queue at a slow replica, and against one that is never tried again. */
        @Test
        void aSlowReplicaOnlyGetsProbes() {
            int slow = 0;
            for (int read = 0; read < 2_000; read++) {
                slow += choose(stale(1_000), view("fast"), view("slow", 500, 0)).equals(to("slow", true)) ? 1 : 0;
            }
            assertThat(slow).isBetween(60, 140);
        }

        /** Guards against probes that pile up at an endpoint which does not answer. */
        @Test
        void oneProbeAtATime() {
            for (int read = 0; read < 1_000; read++) {
                assertThat(choose(stale(1_000), view("fast"), view("slow", 500, 1)))
                        .isEqualTo(to("fast", true));
            }
        }

        /** Guards against a far slower replica that fills up whenever the fast one is busy. */
        @Test
        void fullReplicasPassReadsToModeratelySlowOnesOnly() {
            View fast = view("fast", 5, 4);
            assertThat(choose(stale(1_000), fast, view("slow", 30, 1))).isEqualTo(to("slow", true));
            assertThat(choose(stale(1_000), fast, view("slow", 500, 1))).isEqualTo(new RoutingDecision.Wait());
        }

        /** Guards against a tracker that misses a slow-down or forgets it at the first fast answer. */
        @Test
        void latencyRisesFastAndFallsSlowly() {
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

        /** Guards against reads at an endpoint that leaves or has gone, and at the primary without need. */
        @Test
        void leavingAndUnreachableEndpointsGetNothing() {
            for (int read = 0; read < 200; read++) {
                assertThat(choose(
                                stale(1_000),
                                view("primary"),
                                unreachable("gone"),
                                leaving("stops"),
                                view("replica", 20, 0)))
                        .isEqualTo(to("replica", true));
            }
            assertThat(choose(stale(1_000), view("primary"), leaving("stops"))).isEqualTo(to("primary", true));
            RoutingDecision none = choose(stale(1_000), leaving("primary"), leaving("stops"));
            assertThat(((RoutingDecision.Reject) none).failure().kind()).isEqualTo(ErrorKind.NO_ELIGIBLE_ENDPOINT);
        }

        /** Guards against stale reads, with the tolerance for clocks added to the age. */
        @Test
        void staleReplicasAreLeftOut() {
            assertThat(choose(stale(200), view("primary"), view("replica", 100, 150, 0)))
                    .isEqualTo(to("replica", true));
            assertThat(choose(stale(200), view("primary"), view("replica", 100, 151, 0)))
                    .isEqualTo(to("primary", true));
            assertThat(choose(stale(200), view("primary"), view("replica", 100, 5_100, 5_000)))
                    .isEqualTo(to("replica", false));
        }

        /** Guards against a session that does not see its own write, and against needless reads at the primary. */
        @Test
        void aSessionReadsWhereItsWriteIs() {
            assertThat(choose(session(1, 100), view("primary"), view("replica")))
                    .isEqualTo(to("replica", true));
            assertThat(choose(session(1, 101), inTerm("primary", 1, 101), view("replica", 100, 20, 0)))
                    .isEqualTo(to("primary", true));
            View lastSeenAWhileAgo = view("replica", 100, 420, 400);
            assertThat(choose(session(1, 101), view("primary", 101, 300, 300), lastSeenAWhileAgo))
                    .isEqualTo(to("replica", false));
        }

        /** Guards against reads from a former primary whose last writes were dropped. */
        @Test
        void aFormerPrimaryIsLeftOut() {
            ReadRequirements needs = new ReadRequirements(
                    Optional.of(LogPoint.of(1, 80)), Optional.empty(), NOW, List.of(new TermStart(Term.of(2), 90)));
            assertThat(choose(needs, inTerm("primary", 2, 95), inTerm("former", 1, 100)))
                    .isEqualTo(to("primary", true));
            ReadRequirements lost =
                    new ReadRequirements(Optional.of(LogPoint.of(1, 91)), Optional.empty(), NOW, needs.termStarts());
            RoutingDecision refused = choose(lost, inTerm("primary", 2, 95));
            assertThat(((RoutingDecision.Reject) refused).failure().kind()).isEqualTo(ErrorKind.SESSION_WRITE_LOST);
        }

        /** Guards against a read without session or accepted age at a replica. */
        @Test
        void currentReadsRunAtThePrimary() {
            ReadRequirements current =
                    new ReadRequirements(Optional.empty(), Optional.of(Duration.ZERO), NOW, List.of());
            assertThat(choose(current, view("primary"), view("replica"))).isEqualTo(to("primary", true));
            assertThat(choose(current, view("primary", 5, 4), view("replica"))).isEqualTo(new RoutingDecision.Wait());
            RoutingDecision none = choose(current, unreachable("primary"), view("replica"));
            assertThat(((RoutingDecision.Reject) none).failure().kind()).isEqualTo(ErrorKind.NO_PRIMARY);
        }

        /** Guards against reads that take the whole primary from the writes while replicas are busy. */
        @Test
        void busyReplicasPassReadsToHalfOfThePrimary() {
            View busy = view("replica", 5, 4);
            assertThat(choose(stale(1_000), view("primary", 5, 1), busy)).isEqualTo(to("primary", true));
            assertThat(choose(stale(1_000), view("primary", 5, 2), busy)).isEqualTo(new RoutingDecision.Wait());
        }
    }
}
