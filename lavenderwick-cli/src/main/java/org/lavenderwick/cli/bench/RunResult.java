package org.lavenderwick.cli.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import com.google.common.collect.ImmutableList;
import org.lavenderwick.standins.history.CallerOperation;
import org.lavenderwick.standins.history.History;

/**
 * Everything that was seen in a run.
 *
 * @param plan what the run did
 * @param origin start of the load, from which outcomes count
 * @param outcomes ends of the logical requests
 * @param history attempts of callers and commits of endpoints, with times since the epoch
 * @param sampler states of the endpoints during the run
 * @param senderLagMillis 99th percentile of the delay of the load generator itself
 */
record RunResult(
        RunPlan plan,
        Instant origin,
        List<Outcome> outcomes,
        History history,
        ClusterSampler sampler,
        double senderLagMillis) {

    /** Copies the list. */
    RunResult {
        outcomes = ImmutableList.copyOf(outcomes);
    }

    /** Returns the outcomes of requests whose intended time lies in the measured time. */
    List<Outcome> measured() {
        return outcomes.stream()
                .filter(outcome -> outcome.operation().intendedAt().compareTo(plan.measuredFrom()) >= 0)
                .toList();
    }

    /** Returns an attempt with times since the epoch. */
    static CallerOperation sinceEpoch(CallerOperation attempt, Instant origin) {
        Duration offset = Duration.between(Instant.EPOCH, origin);
        return new CallerOperation(
                attempt.session(),
                attempt.group(),
                attempt.write(),
                attempt.key(),
                attempt.value(),
                attempt.result(),
                attempt.invokedAt().plus(offset),
                attempt.returnedAt().plus(offset),
                attempt.answeredBy());
    }
}
