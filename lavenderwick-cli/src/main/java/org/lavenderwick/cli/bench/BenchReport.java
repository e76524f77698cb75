package org.lavenderwick.cli.bench;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonPropertyOrder;

/**
 * The measures of a run. The names of the components are the keys of the JSON form and are stable.
 *
 * @param deployment name of the deployment
 * @param policy name of the policy
 * @param seed seed of the load
 * @param scenario names of the scenarios
 * @param seconds measured time
 * @param replicaReadShare served reads that a replica ran, over all served reads
 * @param replicaReadCeiling served reads that some replica could have run at that moment, over all served reads
 * @param failoverWriteGapMs longest time between acknowledged writes around a change of primary; empty without one
 * @param ranks service by rank
 * @param worthServedRatio worth of requests served within target over the best that the slots allow
 * @param busiestMinute the most that the endpoints were used
 * @param senderLagP99Ms 99th percentile of the time by which the load generator sent late; a large one means that the
 *     machine was too busy for the run to count
 * @param refusals refusals and failures by kind
 * @param violations broken guarantees
 */
@JsonPropertyOrder({"deployment", "policy", "seed", "scenario", "seconds"})
record BenchReport(
        String deployment,
        String policy,
        long seed,
        String scenario,
        long seconds,
        double replicaReadShare,
        double replicaReadCeiling,
        Optional<WriteGap> failoverWriteGapMs,
        List<RankReport> ranks,
        double worthServedRatio,
        BusiestMinute busiestMinute,
        double senderLagP99Ms,
        List<RefusalCount> refusals,
        Violations violations) {

    /**
     * Gaps of the continuous writers.
     *
     * @param max the longest of all writers
     * @param median the median over the writers
     */
    record WriteGap(double max, double median) {}

    /**
     * Service of one rank. Latencies count from the intended time of the request and cover served requests.
     *
     * @param rank service and rank
     * @param level place of the rank in its service, 0 for the most urgent
     * @param targetMs target of the rank
     * @param worth worth of a request served within the target
     * @param offered requests
     * @param served requests with their whole answer
     * @param refused requests refused as not run
     * @param unknown requests whose outcome stayed unknown
     * @param withinTarget requests served within the target
     * @param p50Ms median latency
     * @param p99Ms 99th percentile of the latency
     */
    record RankReport(
            String rank,
            int level,
            long targetMs,
            int worth,
            long offered,
            long served,
            long refused,
            long unknown,
            long withinTarget,
            double p50Ms,
            double p99Ms) {}

    /**
     * Use of all endpoints.
     *
     * @param connections largest number of connections at one time, by the endpoints' count
     * @param load statements served in the busiest minute; a shorter run is scaled up to a minute
     */
    record BusiestMinute(int connections, long load) {}

    /**
     * Refusals or failures of one kind.
     *
     * @param rank service and rank
     * @param kind kind of the problem document, or {@code no answer}
     * @param count how many
     */
    record RefusalCount(String rank, String kind, long count) {}

    /**
     * Broken guarantees, by the history checker.
     *
     * @param wrongAnswers answers that belong to no known write
     * @param doubleRuns requests that took effect more than once
     * @param staleSessionReads reads that missed a write of their session
     * @param lateAcknowledgements writes acknowledged after their term was replaced
     * @param falseNotRun requests that ran though they were refused as not run
     * @param lostInSwitchover acknowledged writes that a planned change of primary dropped
     */
    record Violations(
            long wrongAnswers,
            long doubleRuns,
            long staleSessionReads,
            long lateAcknowledgements,
            long falseNotRun,
            long lostInSwitchover) {

        /** Returns the number of all violations. */
        long total() {
            return wrongAnswers
                    + doubleRuns
                    + staleSessionReads
                    + lateAcknowledgements
                    + falseNotRun
                    + lostInSwitchover;
        }
    }
}
