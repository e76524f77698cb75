package org.lavenderwick.benchmarks;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import org.lavenderwick.core.model.EndpointName;
import org.lavenderwick.core.model.FailureDomain;
import org.lavenderwick.core.model.LogPoint;
import org.lavenderwick.core.model.Term;
import org.lavenderwick.core.promotion.TermStart;
import org.lavenderwick.core.routing.EndpointSnapshot;
import org.lavenderwick.core.routing.NearestReplicaRouting;
import org.lavenderwick.core.routing.PrimaryOnlyRouting;
import org.lavenderwick.core.routing.ReadRequirements;
import org.lavenderwick.core.routing.ReadRouting;
import org.lavenderwick.core.routing.RoutingDecision;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** One routing decision of a read with a session token, for the next group in turn, with three endpoints per group. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class RoutingBenchmark {

    private static final Instant NOW = Instant.parse("2026-03-01T12:00:00Z");

    private static final int ENDPOINTS = 3;

    /** Number of database groups. */
    @Param({"10", "100", "1100"})
    public int groups;

    /** The implementation. */
    @Param({"nearest", "primary"})
    public String routing;

    private final List<List<EndpointSnapshot>> views = new ArrayList<>();
    private final RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
    private final ReadRequirements needs = new ReadRequirements(
            Optional.of(LogPoint.of(3, 900)),
            Optional.of(Duration.ofSeconds(1)),
            NOW,
            List.of(new TermStart(Term.of(2), 400), new TermStart(Term.of(3), 800)));
    private ReadRouting implementation;
    private int next;

    /** Creates the views of the endpoints. */
    @Setup
    public void fill() {
        implementation = routing.equals("nearest") ? NearestReplicaRouting.create() : PrimaryOnlyRouting.create();
        for (int group = 0; group < groups; group++) {
            List<EndpointSnapshot> endpoints = new ArrayList<>();
            for (int index = 0; index < ENDPOINTS; index++) {
                endpoints.add(new EndpointSnapshot(
                        EndpointName.of("g" + group + "-e" + index),
                        FailureDomain.of("domain-" + index),
                        index == 0,
                        LogPoint.of(3, 1_000),
                        NOW.minusMillis(20),
                        NOW,
                        Duration.ofMillis(3 + index),
                        index,
                        8,
                        false,
                        true));
            }
            views.add(endpoints);
        }
    }

    /** Chooses an endpoint. */
    @Benchmark
    public RoutingDecision choose() {
        List<EndpointSnapshot> endpoints = views.get(next);
        next = next + 1 == groups ? 0 : next + 1;
        return implementation.choose(endpoints, needs, random);
    }
}
