package org.lavenderwick.cli.bench;

import java.time.Duration;
import java.util.Set;

import com.google.common.collect.ImmutableSet;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * What one run does.
 *
 * @param deployment configuration and ordinary load
 * @param policy policies of the daemons
 * @param seed seed of the load
 * @param scenarios what happens
 * @param duration measured time, after the warm-up
 * @param replicaLag age of the replicas' data apart from the scenarios
 */
record RunPlan(
        Deployment deployment,
        PolicyChoice policy,
        long seed,
        Set<Scenario> scenarios,
        Duration duration,
        Duration replicaLag) {
    /** The first requests load classes and open connections. */
    private static final Duration WARM_UP = Duration.ofSeconds(5);

    /** Share of the measured time after which faults and floods begin; floods last as long again. */
    private static final int PARTS = 3;

    /** Copies the set. */
    RunPlan {
        checkArgument(!duration.isNegative() && !duration.isZero(), "the duration is not positive");
        scenarios = ImmutableSet.copyOf(scenarios);
    }

    boolean has(Scenario scenario) {
        return scenarios.contains(scenario);
    }

    /** Returns whether the primary of the fault group changes. */
    boolean changesPrimary() {
        return has(Scenario.FAILOVER) || has(Scenario.LEAVING);
    }

    Duration measuredFrom() {
        return WARM_UP;
    }

    Duration measuredUntil() {
        return WARM_UP.plus(duration);
    }

    /** Returns the time at which faults and floods begin. */
    Duration eventsFrom() {
        return WARM_UP.plus(duration.dividedBy(PARTS));
    }

    /** Returns the time at which floods end. */
    Duration floodUntil() {
        return eventsFrom().plus(duration.dividedBy(PARTS));
    }
}
