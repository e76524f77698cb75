package org.lavenderwick.cli.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.lavenderwick.core.configuration.EndpointSettings;
import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.configuration.ServiceSettings;
import org.lavenderwick.core.model.GroupName;

/** Makes the arrivals of a run. */
final class LoadPlan {
    /** Service time of a statement at a stand-in. */
    static final Duration STATEMENT_TIME = Duration.ofMillis(10);

    private static final double FLOOD_FACTOR = 1.5;
    private static final double HIGH_FLOOD_WRITE_SHARE = 0.1;

    /** Writers whose gaps are measured around a failover, in every scenario so that the load is the same. */
    private static final int WRITERS = 4;

    private static final double WRITES_PER_SECOND = 10;

    private LoadPlan() {}

    /** Returns the arrivals: ordinary load, continuous writers of the fault group, and floods. */
    static List<ArrivalStream> streams(RunPlan plan) {
        List<ArrivalStream> streams = new ArrayList<>();
        Deployment deployment = plan.deployment();
        Duration end = plan.measuredUntil();
        for (Workload workload : deployment.workloads()) {
            streams.add(ArrivalStream.poisson(workload, workload.perSecond(), Duration.ZERO, end, seed(plan, streams)));
        }
        Workload writes = rankOf(deployment, deployment.faultGroup(), 0, 1);
        for (int i = 0; i < WRITERS; i++) {
            streams.add(ArrivalStream.writer(writes, "writer-" + i, WRITES_PER_SECOND, end, seed(plan, streams)));
        }
        if (plan.has(Scenario.FLOOD_LOW)) {
            int lowest = service(deployment, deployment.floodGroup()).ranks().size() - 1;
            streams.add(flood(plan, rankOf(deployment, deployment.floodGroup(), lowest, 0), seed(plan, streams)));
        }
        if (plan.has(Scenario.FLOOD_HIGH)) {
            Workload urgent = rankOf(deployment, deployment.floodGroup(), 0, HIGH_FLOOD_WRITE_SHARE);
            streams.add(flood(plan, urgent, seed(plan, streams)));
        }
        return streams;
    }

    /** Returns the statements a second that an endpoint can run. */
    static double capacity(EndpointSettings endpoint) {
        return endpoint.slots() / (STATEMENT_TIME.toNanos() / 1e9);
    }

    /** Returns the statements a second that a group can run. */
    static double capacity(GroupSettings group) {
        return group.endpoints().stream().mapToDouble(LoadPlan::capacity).sum();
    }

    private static ArrivalStream flood(RunPlan plan, Workload workload, long seed) {
        double perSecond = FLOOD_FACTOR
                * capacity(plan.deployment().group(plan.deployment().floodGroup()));
        return ArrivalStream.poisson(workload, perSecond, plan.eventsFrom(), plan.floodUntil(), seed);
    }

    private static Workload rankOf(Deployment deployment, GroupName group, int level, double writeShare) {
        ServiceSettings service = service(deployment, group);
        return new Workload(service, group, service.ranks().get(level).name(), 0, writeShare);
    }

    private static ServiceSettings service(Deployment deployment, GroupName group) {
        return deployment.configuration().services().get(deployment.group(group).service());
    }

    private static long seed(RunPlan plan, List<ArrivalStream> before) {
        return plan.seed() * 1_000 + before.size();
    }
}
