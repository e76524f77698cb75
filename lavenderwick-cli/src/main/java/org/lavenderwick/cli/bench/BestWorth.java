package org.lavenderwick.cli.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.lavenderwick.core.configuration.GroupSettings;
import org.lavenderwick.core.model.GroupName;

/**
 * The most worth that the slots of the endpoints allow to be served within target. Each group serves, second by second,
 * the offered requests in the order of their worth, as many as its slots can run in a second; writes fit only into the
 * slots of one endpoint. What is left over goes on to the next second as long as its target allows. Faults are left
 * out, so that the figure is an upper bound.
 */
final class BestWorth {
    private final GroupSettings group;
    private final List<Outcome> backlog = new ArrayList<>();
    private double worth;

    private BestWorth(GroupSettings group) {
        this.group = group;
    }

    /** Returns the best worth for the offered requests. */
    static double of(RunPlan plan, List<Outcome> offered) {
        Map<GroupName, Map<Long, List<Outcome>>> seconds = new HashMap<>();
        for (Outcome outcome : offered) {
            seconds.computeIfAbsent(outcome.operation().workload().group(), absent -> new HashMap<>())
                    .computeIfAbsent(outcome.operation().intendedAt().toSeconds(), absent -> new ArrayList<>())
                    .add(outcome);
        }
        double best = 0;
        for (Map.Entry<GroupName, Map<Long, List<Outcome>>> entry : seconds.entrySet()) {
            BestWorth serving = new BestWorth(plan.deployment().group(entry.getKey()));
            long end = plan.measuredUntil().plus(longestTarget(plan)).toSeconds();
            for (long second = plan.measuredFrom().toSeconds(); second <= end; second++) {
                serving.serve(second, entry.getValue().getOrDefault(second, List.of()));
            }
            best += serving.worth;
        }
        return best;
    }

    private static Duration longestTarget(RunPlan plan) {
        return plan.deployment().workloads().stream()
                .map(workload -> workload.settings().target())
                .max(Comparator.naturalOrder())
                .orElse(Duration.ZERO);
    }

    private void serve(long second, List<Outcome> arrivals) {
        backlog.removeIf(outcome -> latestSecond(outcome) < second);
        backlog.addAll(arrivals);
        backlog.sort(Comparator.<Outcome>comparingInt(
                        outcome -> outcome.operation().workload().settings().worth())
                .reversed()
                .thenComparing(outcome -> outcome.operation().intendedAt()));
        double total = LoadPlan.capacity(group);
        double writes = LoadPlan.capacity(group.endpoints().get(0));
        List<Outcome> left = new ArrayList<>();
        for (Outcome outcome : backlog) {
            boolean write = outcome.operation().write();
            if (total < 1 || (write && writes < 1)) {
                left.add(outcome);
                continue;
            }
            total--;
            writes -= write ? 1 : 0;
            worth += outcome.operation().workload().settings().worth();
        }
        backlog.clear();
        backlog.addAll(left);
    }

    private static long latestSecond(Outcome outcome) {
        return outcome.operation()
                .intendedAt()
                .plus(outcome.operation().workload().settings().target())
                .toSeconds();
    }
}
